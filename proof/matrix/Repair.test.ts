import { testOperation } from "../MatrixTests.js";

await testOperation("repair");
