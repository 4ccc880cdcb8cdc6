/** Fault matrix of a job, from its submission to its end. */
import { testOperation } from "../MatrixTests.js";

await testOperation("job");
