import type { RequestListener } from "node:http";
import { type InnerServer, startInnerServer } from "./start_inner_server.ts";

/** What the listener for peers and operators serves, by path. */
export type ControlHandlers = {
  handlePeer: RequestListener;
  /** Metrics as text. */
  formatMetrics: () => string;
  /** State of the process; never secrets. */
  getDump: () => object;
};

/** Starts the listener for other gateways and for operators' tools. */
export function startControlListener(
  address: string,
  handlers: ControlHandlers,
): Promise<InnerServer> {
  return startInnerServer(address, (request, response) => {
    switch (request.url) {
      case "/metrics":
        response.setHeader("Content-Type", "text/plain; version=0.0.4");
        response.end(handlers.formatMetrics());
        return;
      case "/dump":
        response.setHeader("Content-Type", "application/json");
        response.end(JSON.stringify(handlers.getDump()));
        return;
      default:
        handlers.handlePeer(request, response);
    }
  });
}
