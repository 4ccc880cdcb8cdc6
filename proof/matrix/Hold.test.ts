/** Fault matrix of a request with a non-idempotent stage, which is resent through other hosts. */
import { testOperation } from "../MatrixTests.js";

await testOperation("request that may not be repeated");
