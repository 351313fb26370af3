import {
  type InternalServer,
  type InternalServerOptions,
  startInternalServer,
} from "./start_internal_server.ts";

/** Starts a server at which the load balancer checks readiness. */
export function startReadinessListener(
  options: InternalServerOptions,
  isReady: () => boolean,
): Promise<InternalServer> {
  return startInternalServer(options, (_request, response) => {
    response.writeHead(isReady() ? 200 : 503, { "Content-Length": "0" });
    response.end();
  });
}
