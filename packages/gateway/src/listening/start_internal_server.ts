import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { parseAddress } from "@jasminetide/runtime/settings";
import type { ConnectionGuard } from "./connection_guard.ts";

/** HTTP server; disposing of it closes it and its connections. */
export type InternalServer = AsyncDisposable & {
  /** `ip:port` that the server is bound to. */
  address: string;
};

/** Address and limits of an internal server. */
export type InternalServerOptions = {
  address: string;
  guard: ConnectionGuard;
  maxConnections: number;
};

/** Starts an HTTP server at `ip:port` for the platform, peers or operators. */
export async function startInternalServer(
  { address, guard, maxConnections }: InternalServerOptions,
  handler: RequestListener,
): Promise<InternalServer> {
  const server = createServer({
    headersTimeout: requestLimitMs,
    requestTimeout: requestLimitMs,
  });
  const connections = guard.createConnections({
    maxConnections,
    countsRequests: true,
    getUnreadLimitMs: () => requestLimitMs,
  });
  server.on("connection", (socket) => connections.add(socket));
  server.on(
    "request",
    (request, response) => connections.serve(request, response, handler),
  );
  const { ip, port } = parseAddress(address);
  server.listen(port, ip);
  await once(server, "listening");
  const bound = server.address() as AddressInfo;
  return {
    address: `${bound.address}:${bound.port}`,
    [Symbol.asyncDispose]: async () => {
      const closed = once(server, "close");
      server.close();
      server.closeAllConnections();
      await closed;
    },
  };
}

/** Time in which a request must arrive, and its answer be read. */
const requestLimitMs = 10_000;
