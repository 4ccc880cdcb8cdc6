import { testOperation } from "../MatrixTests.js";

await testOperation("request");
