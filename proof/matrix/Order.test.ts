import { testOperation } from "../MatrixTests.js";

await testOperation("order to an engine");
