import {
  type InternalServer,
  startInternalServer,
} from "./start_internal_server.ts";

/** Starts a server at which the load balancer checks readiness. */
export function startReadinessListener(
  address: string,
  isReady: () => boolean,
): Promise<InternalServer> {
  return startInternalServer(address, (_request, response) => {
    response.writeHead(isReady() ? 200 : 503, { "Content-Length": "0" });
    response.end();
  });
}
