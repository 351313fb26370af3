/** What gateways tell each other of the load of runners. */
export * from "./load_reports.ts";
