import type { Executed, ResultName } from "../results/mod.ts";
import type {
  JournalHead,
  JournalSegment,
  LedgerOwner,
  StoredAnswer,
} from "./journal.ts";
import type { ScopedKey } from "./key.ts";

/** Identifier of a call, unique within one owner. */
export type CallId = string;

/** A call with an idempotency key. */
export type LedgerCall = {
  id: CallId;
  key: ScopedKey;
  issuedAtMs: number | undefined;
  requestHash: string;
  deadlineAtMs: number;
  /**
   * Whether this process may claim the shard: the caller's router found no
   * other owner that responds.
   */
  mayClaim: boolean;
};

/** Response of the ledger to a call. */
export type LedgerAnswer =
  /** The runner's answer, either new or replayed from the journal. */
  | { type: "answered"; answer: StoredAnswer; isStored: boolean }
  | {
    type: "refused";
    result: ResultName;
    executed: Executed;
    detail: string;
    retryAfterMs?: number;
  }
  /** Another sidecar owns the shard. */
  | { type: "moved"; owner: LedgerOwner | undefined };

/** Outcome of a dispatched call. */
export type CallOutcome =
  | { type: "answered"; answer: StoredAnswer }
  /** The call is proven never to have reached the runner. */
  | { type: "not-run" }
  | { type: "unknown"; detail: string };

/**
 * Precondition of a conditional write: the version to replace, or 0 if the
 * object must not exist.
 */
export type ExpectedVersion = number;

/** Event that a shard handles. */
export type ShardEvent =
  | { type: "call"; call: LedgerCall }
  | { type: "outcome"; callId: CallId; outcome: CallOutcome }
  /** The version is 0 and the head undefined if the object is absent. */
  | { type: "head-read"; version: number; head: JournalHead | undefined }
  | { type: "head-read-failed" }
  | { type: "head-written"; version: number }
  | { type: "head-conflict"; version: number }
  /** The write may or may not have taken effect. */
  | { type: "head-write-lost" }
  | { type: "segments-read"; segments: JournalSegment[] }
  | { type: "segments-read-failed" }
  | { type: "segment-written"; slot: number; version: number }
  | { type: "segment-conflict"; slot: number; version: number }
  | { type: "segment-write-lost"; slot: number }
  | { type: "tick" }
  /** This process is the preferred owner: claim the shard if it is free. */
  | { type: "propose" }
  /** The process is leaving: finish pending calls, then release the shard. */
  | { type: "leave" };

/** Action that a shard requests from its process. */
export type ShardCommand =
  | { type: "read-head" }
  | { type: "write-head"; expected: ExpectedVersion; head: JournalHead }
  | { type: "read-segments"; slots: { slot: number; version: number }[] }
  | {
    type: "write-segment";
    slot: number;
    expected: ExpectedVersion;
    segment: JournalSegment;
  }
  /**
   * Sends the call to the runner, but never after `notAfterMs`, even if the
   * process was paused in the meantime.
   */
  | { type: "dispatch"; callId: CallId; notAfterMs: number }
  | { type: "answer"; callId: CallId; answer: LedgerAnswer }
  /** Requests a `tick` event at the given time. */
  | { type: "wake"; atMs: number };
