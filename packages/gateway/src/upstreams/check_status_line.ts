import { AppError } from "@jasminetide/core/results";

/**
 * Checks the first line of an answer (RFC 9112, section 4). Statuses above 599
 * are valid here: their recipients handle them like 500.
 *
 * @throws AppError `runnerFailed` if it is no status line of HTTP/1, or switches
 * to another protocol.
 */
export function checkStatusLine(line: string): void {
  const status = statusLine.exec(line)?.[1];
  if (status === undefined) {
    throw AppError.create("runnerFailed", "The answer has no status line");
  }
  if (status !== switchingProtocols) return;
  throw AppError.create(
    "runnerFailed",
    "The runner switches to a protocol that was not requested",
  );
}

/** A version of HTTP/1, a status and, behind a space, a reason. */
const statusLine = /^HTTP\/1\.\d ([1-9]\d\d)(?: .*)?$/;

const switchingProtocols = "101";
