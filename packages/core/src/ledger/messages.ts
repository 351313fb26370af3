import type { Executed, ResultName } from "../results/mod.ts";
import type {
  JournalHead,
  JournalSegment,
  LedgerOwner,
  StoredAnswer,
} from "./journal.ts";
import type { ScopedKey } from "./key.ts";

/** Identifier of one call at one owner. */
export type CallId = string;

/** One call with an idempotency key. */
export type LedgerCall = {
  id: CallId;
  key: ScopedKey;
  issuedAtMs: number | undefined;
  requestHash: string;
  deadlineAtMs: number;
  /** Whether the caller's router found no other owner that answers. */
  mayClaim: boolean;
};

/** What a call is answered with. */
export type LedgerAnswer =
  /** The runner's answer, new or stored. */
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

/** What became of a dispatched call. */
export type CallOutcome =
  | { type: "answered"; answer: StoredAnswer }
  /** Proven never to have reached the runner. */
  | { type: "not-run" }
  | { type: "unknown"; detail: string };

/** Condition of a write: the version to replace, or 0 for an absent object. */
export type ExpectedVersion = number;

/** What a shard is told. */
export type ShardEvent =
  | { type: "call"; call: LedgerCall }
  | { type: "outcome"; callId: CallId; outcome: CallOutcome }
  /** Version 0 and no head where the object is absent. */
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
  /** This process is the proposed owner: own the shard if it is free. */
  | { type: "propose" }
  /** The process is leaving: finish, then release the shard. */
  | { type: "leave" };

/** What a shard wants done. */
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
  /** Not after this time, even where the process has been paused since. */
  | { type: "dispatch"; callId: CallId; notAfterMs: number }
  | { type: "answer"; callId: CallId; answer: LedgerAnswer }
  | { type: "wake"; atMs: number };
