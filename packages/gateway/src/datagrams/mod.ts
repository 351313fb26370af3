/** Messages between gateways that may be lost. */
export * from "./datagram_port.ts";
export * from "./messages.ts";
