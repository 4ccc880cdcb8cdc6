import { testOperation } from "../MatrixTests.js";

await testOperation("request that may not be repeated");
