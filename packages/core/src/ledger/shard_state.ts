import type {
  JournalHead,
  KeyWindow,
  LedgerEntry,
  LedgerOwner,
  SegmentSlot,
} from "./journal.ts";
import type { ScopedKey } from "./key.ts";
import type { CallId, LedgerCall, ShardCommand } from "./messages.ts";

/** Ledger settings, which a shard reads again for each decision. */
export type ShardSettings = {
  /** Maximum age of a new key; older keys are refused and forgotten. */
  windowMs: number;
  maximumEntriesPerShard: number;
  /** Minimum time from a write to the next one that commits queued calls. */
  groupCommitMs: number;
  leaseMs: number;
  outageMode: "refuse" | "open-window";
  /** How far a key window reaches past the time of its write. */
  openWindowMs: number;
};

/** Options to create a shard. */
export type ShardOptions = {
  owner: LedgerOwner;
  getSettings: () => ShardSettings;
};

/**
 * Role of this process in a shard. In `waiting`, the process polls the head of
 * another owner until that owner's lease expires.
 */
export type ShardRole =
  | { type: "idle" }
  | { type: "reading" }
  | {
    type: "waiting";
    version: number;
    head: JournalHead;
    /** Since when the head has been observed unchanged, without a long gap. */
    sinceMs: number;
    /** Time of the last read of the head; a long gap restarts the wait. */
    lastReadAtMs: number;
    /** Time of the next read of the head; a failed read restarts the wait. */
    nextReadAtMs: number;
  }
  | { type: "claiming" }
  | { type: "loading" }
  | { type: "owner" }
  | { type: "released" };

/** A write of the head whose result is not known yet. */
export type PendingWrite = {
  head: JournalHead;
  expected: number;
  startedAtMs: number;
  /** Start of the last attempt and of the one before it. */
  lastAttemptAtMs: number;
  previousAttemptAtMs: number | undefined;
  /** Calls whose intents the write makes durable. */
  callIds: CallId[];
  state: "sent" | "lost" | "reading";
  /** Number of attempts whose answer was lost. */
  lostAnswerCount: number;
  retryAtMs: number;
  /** Versions of segment objects by slot, usable once the write succeeds. */
  observedSlotVersions: Map<number, number>;
  /** Slots that the written head no longer refers to. */
  releasedSlots: number[];
};

/** A segment that is being written. */
export type PendingSeal = {
  slot: number;
  entries: LedgerEntry[];
  /** Slots of the segments that the new one replaces. */
  replacedSlots: number[];
  /** When to retry after a lost answer. */
  retryAtMs: number;
};

/** A call that has not been answered. */
export type PendingCall = LedgerCall & {
  state: "queued" | "committing" | "dispatched";
};

/** State of one shard in one process. */
export type ShardState = {
  readonly owner: LedgerOwner;
  readonly getSettings: () => ShardSettings;
  nowMs: number;
  commands: ShardCommand[];
  role: ShardRole;
  /** Version of the last head that was read or written. */
  version: number;
  floorMs: number;
  forgottenThroughMs: number;
  /** Window of the last confirmed write. */
  window: KeyWindow | undefined;
  doubts: KeyWindow[];
  /** Until when a key without an issue time may have run without an entry. */
  untimedDoubtUntilMs: number;
  slots: SegmentSlot[];
  /**
   * Versions of segment objects that no head refers to, by slot. A slot is
   * usable again after the next successful write of the head.
   */
  observedSlotVersions: Map<number, number>;
  /** Slots released in memory that the durable head still refers to. */
  releasingSlots: Set<number>;
  entries: Map<ScopedKey, LedgerEntry>;
  /** Estimated entry sizes of the keys in the head; others are in segments. */
  headBytes: Map<ScopedKey, number>;
  headTotalBytes: number;
  /** Keys by the slot of their segment. */
  segmentKeys: Map<number, ScopedKey[]>;
  /** Number of entries whose key carries no issue time. */
  untimedKeyCount: number;
  calls: Map<CallId, PendingCall>;
  write: PendingWrite | undefined;
  seal: PendingSeal | undefined;
  /** Whether a segment was written since the last attempt to merge. */
  isMergeDue: boolean;
  /** Start of the last confirmed write, from which the lease counts. */
  leaseStartMs: number;
  /** Time until which no other process can own the shard. */
  authorityUntilMs: number;
  lastWriteAtMs: number;
  /** Time of the oldest change that is not part of any write yet. */
  dirtySinceMs: number | undefined;
  writeCount: number;
  wakeAtMs: number;
  /** Lower bound of the deadlines of calls that wait for an owner. */
  earliestDeadlineMs: number;
  isLeaving: boolean;
};

/** Maximum number of segment objects of a shard. */
export const maxSegments = 32;

/** Creates the state of a shard whose journal has not been read. */
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

/** Discards the cached content of the journal and any pending write. */
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
    untimedDoubtUntilMs: 0,
    slots: [] as SegmentSlot[],
    observedSlotVersions: new Map<number, number>(),
    releasingSlots: new Set<number>(),
    entries: new Map<ScopedKey, LedgerEntry>(),
    headBytes: new Map<ScopedKey, number>(),
    headTotalBytes: 0,
    segmentKeys: new Map<number, ScopedKey[]>(),
    untimedKeyCount: 0,
  };
}

/**
 * Checks that no other process can own the shard now. Only then can the
 * absence of a key prove that its call was not run.
 */
export function isAuthoritative(state: ShardState): boolean {
  return state.role.type === "owner" && state.nowMs < state.authorityUntilMs;
}

/**
 * Extends the time during which no other process can own the shard. A process
 * that takes over waits for a whole lease, at the earliest from `sinceMs`;
 * this process counts on only `leaseShare` of the lease.
 */
export function extendAuthority(state: ShardState, sinceMs: number): void {
  state.authorityUntilMs = Math.max(
    state.authorityUntilMs,
    sinceMs + state.getSettings().leaseMs * leaseShare,
  );
}

/** Fraction of the lease that the owner uses; the rest covers clock drift. */
const leaseShare = 0.8;
