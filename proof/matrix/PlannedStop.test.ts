import { testOperation } from "../MatrixTests.js";

await testOperation("planned stop");
