/** Runners: their records, health, load and connections. */
export * from "./answer_parser.ts";
export * from "./connection_pool.ts";
export * from "./directory.ts";
export * from "./runner_connection.ts";
export * from "./upstream.ts";
