import type { RequestListener } from "node:http";
import { newsPath } from "../peers/mod.ts";
import {
  type InternalServer,
  type InternalServerOptions,
  startInternalServer,
} from "./start_internal_server.ts";

/** Handlers of the listener for peers and operators. */
export type ControlHandlers = {
  /** Handles the calls of peers and operators. */
  handlePeer: RequestListener;
  /** Handles gateways that follow this one. */
  handleNews: RequestListener;
  /** Formats the metrics as text. */
  formatMetrics: () => string;
  /** Returns the state of the process; must not contain secrets. */
  getDump: () => object;
};

/** Starts the listener for other gateways and for operators' tools. */
export function startControlListener(
  options: InternalServerOptions,
  handlers: ControlHandlers,
): Promise<InternalServer> {
  return startInternalServer(options, (request, response) => {
    const [path] = (request.url ?? "").split("?");
    switch (path) {
      case newsPath:
        handlers.handleNews(request, response);
        return;
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
