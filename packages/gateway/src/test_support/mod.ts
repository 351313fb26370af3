/** Callers, runners and stores for tests of a gateway. */
export * from "./answer_scripts.ts";
export * from "./crashing_fleet.ts";
export * from "./raw_caller.ts";
export * from "./scripted_runner.ts";
export * from "./test_gateway.ts";
export * from "./test_protocol.ts";
export * from "./test_source.ts";
