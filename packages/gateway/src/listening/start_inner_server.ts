import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import { parseAddress } from "@jasminetide/runtime/settings";

/** Starts a server at `ip:port` for the platform, peers or operators. */
export async function startInnerServer(
  address: string,
  handler: RequestListener,
): Promise<AsyncDisposable> {
  const server = createServer(handler);
  const { ip, port } = parseAddress(address);
  server.listen(port, ip);
  await once(server, "listening");
  return {
    [Symbol.asyncDispose]: async () => {
      const closed = once(server, "close");
      server.close();
      server.closeAllConnections();
      await closed;
    },
  };
}
