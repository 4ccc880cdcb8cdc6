import { testOperation } from "../MatrixTests.js";

await testOperation("data centre out and in");
