import { type InnerServer, startInnerServer } from "./start_inner_server.ts";

/** Starts a server that tells the balancer whether to send callers here. */
export function startReadinessListener(
  address: string,
  isReady: () => boolean,
): Promise<InnerServer> {
  return startInnerServer(address, (_request, response) => {
    response.writeHead(isReady() ? 200 : 503, { "Content-Length": "0" });
    response.end();
  });
}
