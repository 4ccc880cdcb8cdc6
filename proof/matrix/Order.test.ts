/** Fault matrix of an order to an engine, which a host of the engine's data centre issues. */
import { testOperation } from "../MatrixTests.js";

await testOperation("order to an engine");
