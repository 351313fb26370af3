import { assertNever } from "../results/mod.ts";
import { admitCall, cancelCall, refuseLeaving } from "./calls.ts";
import {
  confirmWrite,
  getWriteDueMs,
  recordLostAnswer,
  retryWrite,
  scheduleSettlement,
  settleWrite,
  startSettlement,
  startWrite,
} from "./commits.ts";
import { trimHistory } from "./history.ts";
import type { LedgerCall, ShardCommand, ShardEvent } from "./messages.ts";
import { recordOutcome } from "./outcomes.ts";
import {
  applyRead,
  applySegments,
  applyWaitingRead,
  dropOwnership,
  enqueueCall,
  expireWaitingCalls,
  failReading,
  readWhileWaiting,
  restartWait,
  startLoading,
  startReading,
} from "./ownership.ts";
import { isFromCopy, resumeAfterRestore } from "./restores.ts";
import {
  completeSeal,
  failSeal,
  retrySeal,
  scheduleSealRetry,
  startSeal,
} from "./segments.ts";
import {
  createShardState,
  isAuthoritative,
  type ShardOptions,
  type ShardState,
} from "./shard_state.ts";

/** Checks whether the process observes the shard but has not claimed it. */
function isBeforeClaim({ role }: ShardState): boolean {
  return role.type === "reading" || role.type === "waiting";
}

/** Delay before a failed read of segments is retried. */
const readRetryMs = 200;

/**
 * State machine of one shard of a service's ledger in one process. It handles
 * events and returns commands, and performs no I/O itself.
 */
export class Shard {
  readonly #state: ShardState;
  #readRetryAtMs = Number.POSITIVE_INFINITY;

  private constructor(options: ShardOptions) {
    this.#state = createShardState(options);
  }

  /** Creates a shard whose journal has not been read yet. */
  static create(options: ShardOptions): Shard {
    return new Shard(options);
  }

  /** State of the shard, for dumps and tests. */
  get state(): Readonly<ShardState> {
    return this.#state;
  }

  /** Whether no call, write or ownership is left, so the process may end. */
  get isReleased(): boolean {
    const { role, calls, write } = this.#state;
    if (calls.size > 0 || write !== undefined) return false;
    return role.type === "released" || role.type === "idle";
  }

  /** Handles an event and returns the commands to run, in order. */
  handle(event: ShardEvent, nowMs: number): ShardCommand[] {
    this.#state.nowMs = nowMs;
    this.#apply(event);
    this.#runDue();
    this.#scheduleWake();
    const { commands } = this.#state;
    this.#state.commands = [];
    return commands;
  }

  #apply(event: ShardEvent): void {
    const state = this.#state;
    switch (event.type) {
      case "call":
        this.#handleCall(event.call);
        break;
      case "outcome":
        recordOutcome(state, event.callId, event.outcome);
        break;
      case "head-read":
        this.#handleRead(event);
        break;
      case "head-read-failed":
        if (state.write?.state === "reading") scheduleSettlement(state);
        else if (state.role.type === "reading") failReading(state);
        else restartWait(state);
        break;
      case "head-written":
        this.#handleWritten(event.version);
        break;
      case "head-conflict":
        startSettlement(state);
        break;
      case "head-write-lost":
        recordLostAnswer(state);
        break;
      case "segments-read":
        if (state.role.type === "loading") applySegments(state, event.segments);
        break;
      case "segments-read-failed":
        this.#readRetryAtMs = state.nowMs + readRetryMs;
        break;
      case "segment-written":
        completeSeal(state, event);
        break;
      case "segment-conflict":
        failSeal(state, event);
        break;
      case "segment-write-lost":
        scheduleSealRetry(state, event.slot);
        break;
      case "tick":
        state.wakeAtMs = Number.POSITIVE_INFINITY;
        break;
      case "propose":
        if (state.role.type === "idle" && !state.isLeaving) startReading(state);
        break;
      case "leave":
        state.isLeaving = true;
        if (isBeforeClaim(state)) failReading(state);
        break;
      default:
        assertNever(event);
    }
  }

  #handleCall(call: LedgerCall): void {
    const state = this.#state;
    if (state.isLeaving && !state.entries.has(call.key)) {
      refuseLeaving(state, call);
    } else if (state.role.type === "owner") admitCall(state, call);
    else enqueueCall(state, call);
  }

  #handleRead(read: Extract<ShardEvent, { type: "head-read" }>): void {
    const state = this.#state;
    if (state.write?.state !== "reading") {
      if (state.role.type === "reading") applyRead(state, read);
      else applyWaitingRead(state, read);
      return;
    }
    switch (settleWrite(state.write, read)) {
      case "stale":
        scheduleSettlement(state);
        break;
      case "own":
        this.#handleWritten(read.version);
        break;
      case "restored":
        this.#handleRestored(read);
        break;
      case "lost":
        dropOwnership(state, read.head);
    }
  }

  /**
   * Goes on in a store that was restored, if no other process can have taken
   * over in the time that was lost. Otherwise what is known here may be too old.
   */
  #handleRestored(
    read: Extract<ShardEvent, { type: "head-read" }>,
  ): void {
    const state = this.#state;
    if (isAuthoritative(state) && isFromCopy(read)) {
      resumeAfterRestore(state, read.version);
      startWrite(state);
    } else dropOwnership(state, read.head);
  }

  #handleWritten(version: number): void {
    const state = this.#state;
    const isRelease = state.write?.head.owner === undefined;
    confirmWrite(state, version);
    if (isRelease) {
      state.role = { type: "released" };
      state.seal = undefined;
    } else if (state.role.type === "claiming") startLoading(state);
  }

  #runDue(): void {
    const state = this.#state;
    this.#retryLoading();
    readWhileWaiting(state);
    expireWaitingCalls(state);
    this.#writeDue();
    if (state.role.type !== "owner") return;
    retrySeal(state);
    startSeal(state);
  }

  #writeDue(): void {
    const state = this.#state;
    const { write } = state;
    const dueMs = getWriteDueMs(state);
    if (write !== undefined) {
      if (dueMs !== undefined && dueMs <= state.nowMs) retryWrite(state, write);
      return;
    }
    if (state.role.type !== "owner") return;
    if (state.isLeaving && state.calls.size === 0) {
      startWrite(state, { isRelease: true });
    } else if (dueMs !== undefined && dueMs <= state.nowMs) {
      this.#cancelExpired();
      trimHistory(state);
      startWrite(state);
    }
  }

  #cancelExpired(): void {
    const state = this.#state;
    for (const call of [...state.calls.values()]) {
      if (call.state !== "queued" || call.deadlineAtMs > state.nowMs) continue;
      cancelCall(state, call);
    }
  }

  #retryLoading(): void {
    const state = this.#state;
    if (state.nowMs < this.#readRetryAtMs) return;
    this.#readRetryAtMs = Number.POSITIVE_INFINITY;
    if (state.role.type === "loading") startLoading(state);
  }

  #scheduleWake(): void {
    const state = this.#state;
    const dues = [this.#readRetryAtMs, state.seal?.retryAtMs ?? Infinity];
    if (state.role.type === "owner" || state.write !== undefined) {
      dues.push(getWriteDueMs(state) ?? Infinity);
    }
    if (state.role.type !== "owner") dues.push(state.earliestDeadlineMs);
    if (state.role.type === "waiting") dues.push(state.role.nextReadAtMs);
    const dueMs = Math.max(Math.min(...dues), state.nowMs);
    if (dueMs >= state.wakeAtMs || dueMs === Infinity) return;
    state.wakeAtMs = dueMs;
    state.commands.push({ type: "wake", atMs: dueMs });
  }
}
