import { createServer } from "node:http";
import { parseAddress } from "@jasminetide/runtime/settings";

/** Starts a server that tells the balancer whether to send callers here. */
export async function startReadinessListener(
  address: string,
  isReady: () => boolean,
): Promise<AsyncDisposable> {
  const server = createServer((_request, response) => {
    response.writeHead(isReady() ? 200 : 503, { "Content-Length": "0" });
    response.end();
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
