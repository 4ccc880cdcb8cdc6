/** Fault matrix of the planned stop of a host with requests in flight. */
import { testOperation } from "../MatrixTests.js";

await testOperation("planned stop");
