import { createServer, type RequestListener } from "node:http";
import { parseAddress } from "@jasminetide/runtime/settings";

/** What the listener for peers and operators serves, by path. */
export type ControlHandlers = {
  handlePeer: RequestListener;
  /** Metrics as text. */
  formatMetrics: () => string;
  /** State of the process; never secrets. */
  getDump: () => object;
};

/** Starts the listener for other gateways and for operators' tools. */
export async function startControlListener(
  address: string,
  handlers: ControlHandlers,
): Promise<AsyncDisposable> {
  const server = createServer((request, response) => {
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
  const { ip, port } = parseAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ip, resolve);
  });
  return {
    [Symbol.asyncDispose]: async () => {
      const closed = new Promise((resolve) => server.close(resolve));
      server.closeAllConnections();
      await closed;
    },
  };
}
