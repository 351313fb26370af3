/** What gateways tell each other of the load of runners. */
export * from "./datagram_port.ts";
export * from "./load_reports.ts";
export * from "./report_codec.ts";
