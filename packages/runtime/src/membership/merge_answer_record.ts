import type { IncomingHttpHeaders } from "node:http";
import {
  decodeAnswerRecord,
  type GossipState,
  type MembershipTables,
  mergeRecord,
  relayRecord,
} from "@jasminetide/core/membership";
import { headerNames } from "../exchange/mod.ts";

/** Where the record of an answer is merged. */
export type MergeAnswerOptions = {
  tables: MembershipTables;
  spreader: GossipState;
  /** Number of the member whose answer it is. */
  wireId: number;
  nowMs: number;
};

/**
 * Merges the record that an answer of a sidecar carries, if any.
 *
 * @throws AppError when it cannot be decoded.
 */
export function mergeAnswerRecord(
  headers: IncomingHttpHeaders,
  options: MergeAnswerOptions,
): void {
  const text = headers[headerNames.digest];
  if (typeof text !== "string") return;
  const { nowMs, spreader, tables, wireId } = options;
  const record = decodeAnswerRecord(text, wireId);
  const result = mergeRecord(tables, record, nowMs);
  if (result === "state") relayRecord(spreader, wireId, result);
}

/** Reads the configuration version that an answer names, if any. */
export function readAnsweredVersion(
  headers: IncomingHttpHeaders,
): number | undefined {
  const version = Number(headers[headerNames.configurationVersion]);
  return Number.isSafeInteger(version) ? version : undefined;
}
