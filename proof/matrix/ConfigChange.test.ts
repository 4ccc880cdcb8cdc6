/** Fault matrix of a configuration change: injects each fault at each step of the change. */
import { testOperation } from "../MatrixTests.js";

await testOperation("configuration change");
