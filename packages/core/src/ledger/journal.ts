import type { ScopedKey } from "./key.ts";

/** An answer that a repeated call gets again. */
export type StoredAnswer = {
  status: number;
  headers: { [name: string]: string | string[] };
  body: Uint8Array;
};

/**
 * What the journal knows of one key. An `intent` was recorded before its
 * dispatch; after a takeover it becomes `unknown` and is never dispatched.
 */
export type LedgerEntry = {
  key: ScopedKey;
  /** Undefined for keys that carry no time. */
  issuedAtMs: number | undefined;
  /** Hash of method, path and body. */
  requestHash: string;
  recordedAtMs: number;
  state: "intent" | "done" | "unknown";
  /** Absent while there is none, and where it was too large to keep. */
  answer: StoredAnswer | undefined;
};

/**
 * Issue times of the keys that an owner may dispatch before their intent is
 * durable: `fromMs <= issuedAtMs < limitMs`.
 */
export type KeyWindow = { fromMs: number; limitMs: number };

/** One start of one sidecar, as an owner. */
export type LedgerOwner = { name: string; epoch: number };

/** An object that holds older entries of a shard. */
export type SegmentSlot = {
  /** Version of the object; 0 before its first write. */
  version: number;
  isUsed: boolean;
  /** Latest issue time in the segment. */
  newestIssuedAtMs: number;
  sealedAtMs: number;
};

/** The object whose conditional writes decide who owns a shard. */
export type JournalHead = {
  owner: LedgerOwner | undefined;
  /** Tells this write from any other when its answer was lost. */
  writeId: string;
  /** Keys issued earlier are refused. */
  floorMs: number;
  /** Latest issue time of a key that was forgotten. */
  forgottenThroughMs: number;
  window: KeyWindow | undefined;
  /** Windows of former owners: absent keys in them may have been run. */
  doubts: KeyWindow[];
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

const entryOverheadBytes = 100;
