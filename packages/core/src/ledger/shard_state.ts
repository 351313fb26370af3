import type {
  JournalHead,
  KeyWindow,
  LedgerEntry,
  LedgerOwner,
  SegmentSlot,
} from "./journal.ts";
import type { ScopedKey } from "./key.ts";
import type { CallId, LedgerCall, ShardCommand } from "./messages.ts";

/** Settings of the ledger that a shard reads at each decision. */
export type ShardSettings = {
  windowMs: number;
  maximumEntriesPerShard: number;
  groupCommitMs: number;
  leaseMs: number;
  outageMode: "refuse" | "open-window";
  openWindowMs: number;
};

/** How a shard is created. */
export type ShardOptions = {
  owner: LedgerOwner;
  getSettings: () => ShardSettings;
};

/**
 * Part that this process has in a shard. `waiting` observes the head of
 * another owner until its lease is over.
 */
export type ShardRole =
  | { type: "idle" }
  | { type: "reading" }
  | {
    type: "waiting";
    version: number;
    head: JournalHead;
    sinceMs: number;
    /** Last look at the head; a gap starts the wait again. */
    seenAtMs: number;
    /** Next look at the head; a failed one starts the wait again. */
    readAtMs: number;
  }
  | { type: "claiming" }
  | { type: "loading" }
  | { type: "owner" }
  | { type: "released" };

/** A write of the head that has not been settled. */
export type PendingWrite = {
  head: JournalHead;
  expected: number;
  startedAtMs: number;
  /** Start of the last try and of the one before. */
  triedAtMs: number;
  triedBeforeAtMs: number | undefined;
  /** Calls whose intents the write carries. */
  callIds: CallId[];
  state: "sent" | "lost" | "reading";
  /** Tries whose answer was lost. */
  losses: number;
  retryAtMs: number;
  /** Versions of segments that the write's success makes usable. */
  learnedVersions: Map<number, number>;
  /** Slots that the written head no longer refers to. */
  releasedSlots: number[];
};

/** A segment that is being written. */
export type PendingSeal = {
  slot: number;
  entries: LedgerEntry[];
  /** Segments whose entries the new one takes over. */
  replacedSlots: number[];
  /** When to try again after a lost answer. */
  retryAtMs: number;
};

/** A call that has not been answered. */
export type PendingCall = LedgerCall & {
  state: "queued" | "committing" | "dispatched";
};

/** Tables of one shard at one process. */
export type ShardState = {
  readonly owner: LedgerOwner;
  readonly getSettings: () => ShardSettings;
  nowMs: number;
  commands: ShardCommand[];
  role: ShardRole;
  version: number;
  floorMs: number;
  forgottenThroughMs: number;
  /** Window of the last confirmed write. */
  window: KeyWindow | undefined;
  doubts: KeyWindow[];
  slots: SegmentSlot[];
  /** Versions of unreferenced segments, usable after the next head write. */
  learnedVersions: Map<number, number>;
  /** Slots released in memory while the durable head refers to them. */
  releasingSlots: Set<number>;
  entries: Map<ScopedKey, LedgerEntry>;
  /** Keys in the head with their estimated size; others are in segments. */
  headBytes: Map<ScopedKey, number>;
  headTotalBytes: number;
  /** Keys by segment. */
  segmentKeys: Map<number, ScopedKey[]>;
  timelessCount: number;
  calls: Map<CallId, PendingCall>;
  write: PendingWrite | undefined;
  seal: PendingSeal | undefined;
  /** Whether segments have come since the last look for mergeable ones. */
  isMergeDue: boolean;
  /** Start of the last confirmed write. */
  leaseStartMs: number;
  /** Time until which no other process can own the shard. */
  authorityUntilMs: number;
  lastWriteAtMs: number;
  /** Time of the oldest change that no write carries. */
  dirtySinceMs: number | undefined;
  writeCount: number;
  wakeAtMs: number;
  /** No call that waits for an owner has an earlier deadline. */
  earliestDeadlineMs: number;
  isLeaving: boolean;
};

/** Number of segment objects of a shard. */
export const maxSegments = 32;

/** Creates the tables of a shard that has not been read. */
export function createShardState(options: ShardOptions): ShardState {
  return {
    owner: options.owner,
    getSettings: options.getSettings,
    nowMs: 0,
    commands: [],
    role: { type: "idle" },
    ...createEmptyJournal(),
    calls: new Map(),
    write: undefined,
    seal: undefined,
    isMergeDue: false,
    leaseStartMs: Number.NEGATIVE_INFINITY,
    authorityUntilMs: Number.NEGATIVE_INFINITY,
    lastWriteAtMs: Number.NEGATIVE_INFINITY,
    dirtySinceMs: undefined,
    writeCount: 0,
    wakeAtMs: Number.POSITIVE_INFINITY,
    earliestDeadlineMs: Number.POSITIVE_INFINITY,
    isLeaving: false,
  };
}

/** Drops what was known of the journal. */
export function clearJournal(state: ShardState): void {
  Object.assign(state, createEmptyJournal());
  state.write = undefined;
  state.seal = undefined;
  state.dirtySinceMs = undefined;
  state.leaseStartMs = Number.NEGATIVE_INFINITY;
  state.authorityUntilMs = Number.NEGATIVE_INFINITY;
}

function createEmptyJournal() {
  return {
    version: 0,
    floorMs: 0,
    forgottenThroughMs: 0,
    window: undefined as KeyWindow | undefined,
    doubts: [] as KeyWindow[],
    slots: [] as SegmentSlot[],
    learnedVersions: new Map<number, number>(),
    releasingSlots: new Set<number>(),
    entries: new Map<ScopedKey, LedgerEntry>(),
    headBytes: new Map<ScopedKey, number>(),
    headTotalBytes: 0,
    segmentKeys: new Map<number, ScopedKey[]>(),
    timelessCount: 0,
  };
}

/**
 * Says whether no other process can own the shard now. Only then is an absent
 * key proven not run.
 */
export function isAuthoritative(state: ShardState): boolean {
  return state.role.type === "owner" && state.nowMs < state.authorityUntilMs;
}

/**
 * Extends the time without another owner to that of a takeover that began to
 * wait at `sinceMs`. The lease lasts longer on the taker's clock.
 */
export function extendAuthority(state: ShardState, sinceMs: number): void {
  state.authorityUntilMs = Math.max(
    state.authorityUntilMs,
    sinceMs + state.getSettings().leaseMs * leaseShare,
  );
}

/** Share of the lease that the owner uses; the rest covers clock drift. */
const leaseShare = 0.8;
