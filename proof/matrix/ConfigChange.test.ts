import { testOperation } from "../MatrixTests.js";

await testOperation("configuration change");
