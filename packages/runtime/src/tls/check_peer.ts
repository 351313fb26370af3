import type { IncomingMessage } from "node:http";
import { TLSSocket } from "node:tls";
import { AppError } from "@jasminetide/core/results";
import type { Logger } from "../logging/mod.ts";

/**
 * Checks that the sender of a request presented a certificate of the authority;
 * a refusal is logged.
 *
 * @throws AppError `peerUnauthorized` when it did not.
 */
export function checkPeer(request: IncomingMessage, logger: Logger): void {
  const { socket } = request;
  if (socket instanceof TLSSocket && socket.authorized) return;
  const reason = describeRefusal(request);
  const error = AppError.create(
    "peerUnauthorized",
    `Peer has no valid certificate: ${reason}`,
  );
  logger.warn("peer-refused", {
    code: error.code,
    reason,
    peer: `${socket.remoteAddress}:${socket.remotePort}`,
  });
  throw error;
}

/** Gets why a peer is refused; after a failed check, OpenSSL's error code. */
function describeRefusal({ socket }: IncomingMessage): string {
  if (!(socket instanceof TLSSocket)) return "CONNECTION_WITHOUT_TLS";
  const certificate = socket.getPeerCertificate();
  if (Object.keys(certificate ?? {}).length === 0) return "CERTIFICATE_ABSENT";
  return String(socket.authorizationError);
}
