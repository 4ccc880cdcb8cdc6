/** Fault matrix of a request whose stages are all idempotent. */
import { testOperation } from "../MatrixTests.js";

await testOperation("request");
