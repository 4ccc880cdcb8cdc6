/** Fault matrix of the repair of a control host that lost its disk and restarts with an empty one. */
import { testOperation } from "../MatrixTests.js";

await testOperation("repair");
