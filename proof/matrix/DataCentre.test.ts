/** Fault matrix of taking a data centre out of service and back in: injects each fault at each step. */
import { testOperation } from "../MatrixTests.js";

await testOperation("data centre out and in");
