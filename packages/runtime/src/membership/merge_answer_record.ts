import type { IncomingHttpHeaders } from "node:http";
import {
  decodeAnswerRecord,
  type GossipState,
  type MembershipTables,
  mergeRecord,
  relayRecord,
} from "@jasminetide/core/membership";
import { headerNames } from "../exchange/mod.ts";

/** Destination of the record in an answer. */
export type MergeAnswerOptions = {
  tables: MembershipTables;
  gossip: GossipState;
  /** Number of the member that sent the answer. */
  wireId: number;
  nowMs: number;
};

/**
 * Merges the member record in the headers of a sidecar's answer, if any.
 *
 * @throws AppError when it cannot be decoded.
 */
export function mergeAnswerRecord(
  headers: IncomingHttpHeaders,
  options: MergeAnswerOptions,
): void {
  const text = headers[headerNames.digest];
  if (typeof text !== "string") return;
  const { gossip, nowMs, tables, wireId } = options;
  const record = decodeAnswerRecord(text, wireId);
  const result = mergeRecord(tables, record, nowMs);
  if (result === "state") relayRecord(gossip, wireId, result);
}

/** Reads the configuration version in the headers of an answer, if any. */
export function readConfigurationVersion(
  headers: IncomingHttpHeaders,
): number | undefined {
  const version = Number(headers[headerNames.configurationVersion]);
  return Number.isSafeInteger(version) ? version : undefined;
}
