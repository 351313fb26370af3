/** Control calls between processes and from operators. */
export * from "./control_client.ts";
export * from "./control_server.ts";
export * from "./messages.ts";
export * from "./peer_clients.ts";
export * from "./procedures.ts";
