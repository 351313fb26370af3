import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { parseAddress } from "@jasminetide/runtime/settings";

/** HTTP server; disposing of it closes it and its connections. */
export type InternalServer = AsyncDisposable & {
  /** `ip:port` that the server is bound to. */
  address: string;
};

/** Starts an HTTP server at `ip:port` for the platform, peers or operators. */
export async function startInternalServer(
  address: string,
  handler: RequestListener,
): Promise<InternalServer> {
  const server = createServer(handler);
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
