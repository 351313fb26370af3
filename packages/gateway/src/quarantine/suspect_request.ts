import { isRequestKey } from "@jasminetide/core/quarantine";
import { maxIdLength, maxPartCount } from "../peers/evidence_schema.ts";
import { type CallerRequest, listSharedParts } from "../protocol.ts";

/** A request as the quarantine knows it. */
export type SuspectRequest = {
  caller: CallerRequest;
  /** Key that it has whenever it is sent. */
  requestKey: string;
  /** Its quarantined parts and key, if it was sent on trial. */
  triedPartIds?: readonly string[];
};

/**
 * Lists the ids of the shared parts of a prompt, within the limits, and the key
 * of the request. Parts that look like such a key are left out, since callers
 * choose their ids.
 */
export function listSuspectIds(
  { caller, requestKey }: SuspectRequest,
): string[] {
  const ids = listSharedParts(caller.prompt)
    .map(({ id }) => id.slice(0, maxIdLength));
  const partIds = new Set(ids.filter((id) => !isRequestKey(id)));
  return [...[...partIds].slice(0, maxPartCount - 1), requestKey];
}
