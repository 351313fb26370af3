import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { parseAddress } from "@jasminetide/runtime/settings";

/** A server that disposing of closes with its connections. */
export type InnerServer = AsyncDisposable & {
  /** `ip:port` that was bound. */
  address: string;
};

/** Starts a server at `ip:port` for the platform, peers or operators. */
export async function startInnerServer(
  address: string,
  handler: RequestListener,
): Promise<InnerServer> {
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
