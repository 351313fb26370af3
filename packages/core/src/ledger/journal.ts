import type { ScopedKey } from "./key.ts";

/** A runner's answer, stored so that repeated calls get the same one. */
export type StoredAnswer = {
  status: number;
  headers: { [name: string]: string | string[] };
  body: Uint8Array;
};

/**
 * Journal entry of one key. An `intent` is recorded before the call is
 * dispatched; after a takeover it becomes `unknown` and is never dispatched.
 */
export type LedgerEntry = {
  key: ScopedKey;
  /** Undefined for keys that carry no issue time. */
  issuedAtMs: number | undefined;
  /** Hash of method, path and body. */
  requestHash: string;
  recordedAtMs: number;
  state: "intent" | "done" | "unknown";
  /** Undefined before the answer arrives and if it was too large to store. */
  answer: StoredAnswer | undefined;
};

/**
 * Issue times of the keys that an owner may dispatch before their intent is
 * durable: `fromMs <= issuedAtMs < limitMs`.
 */
export type KeyWindow = { fromMs: number; limitMs: number };

/** Owner of a shard: one run of a sidecar, identified by its epoch. */
export type LedgerOwner = { name: string; epoch: number };

/** Slot for a segment, an object that holds older entries of a shard. */
export type SegmentSlot = {
  /** Version of the object; 0 before its first write. */
  version: number;
  /** Whether the head refers to the segment. */
  isUsed: boolean;
  /** Latest issue time in the segment. */
  newestIssuedAtMs: number;
  /** When the newest entries in the segment were moved out of the head. */
  sealedAtMs: number;
};

/**
 * Head of a shard's journal. Conditional writes of this object decide which
 * process owns the shard.
 */
export type JournalHead = {
  owner: LedgerOwner | undefined;
  /** Identifies this write, to detect success after its answer was lost. */
  writeId: string;
  /** Epoch of the store in which the head was written. */
  storeEpoch: number;
  /** New keys issued before this time are refused. */
  floorMs: number;
  /** Latest issue time of any key that was forgotten. */
  forgottenThroughMs: number;
  /** Keys that the owner may dispatch before their intent is durable. */
  window: KeyWindow | undefined;
  /** Windows of former owners: a key in one may have run without an entry. */
  doubts: KeyWindow[];
  /** Until when a key without an issue time may have run without an entry. */
  untimedDoubtUntilMs: number;
  slots: SegmentSlot[];
  entries: LedgerEntry[];
};

/** Content of a segment. */
export type JournalSegment = { entries: LedgerEntry[] };

/** Estimates the encoded size of an entry in bytes. */
export function getEntryBytes(entry: LedgerEntry): number {
  return entryOverheadBytes + entry.key.length +
    (entry.answer === undefined ? 0 : getAnswerBytes(entry.answer));
}

/** Estimates the encoded size of an answer in bytes. */
export function getAnswerBytes(answer: StoredAnswer): number {
  return answer.body.length + JSON.stringify(answer.headers).length;
}

/** Estimated encoded size of an entry without its key and answer, in bytes. */
const entryOverheadBytes = 100;
