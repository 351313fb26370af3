/** Simulated sidecar of a run of the ledger. */
import {
  type CallId,
  type CallOutcome,
  decodeHead,
  decodeSegment,
  encodeHead,
  encodeSegment,
  type LedgerAnswer,
  type LedgerCall,
  type LedgerOwner,
  Shard,
  type ShardCommand,
  type ShardEvent,
  type ShardSettings,
} from "@jasminetide/core/ledger";
import type { RandomSource } from "@jasminetide/core/random";
import { decodePosition } from "@jasminetide/core/store";
import type { TimerService } from "@jasminetide/core/timers";
import type { FakePlatform, ReadResult, WriteResult } from "./fake_platform.ts";
import type { FakeService, ServiceAnswer } from "./fake_service.ts";

/** Bugs that a test injects to check that a run finds them. */
export type InjectedBug =
  | "no-fence"
  | "retry-without-settlement"
  | "match-by-connection";

/** Identity and dependencies of one sidecar. */
export type FakeSidecarOptions = {
  owner: LedgerOwner;
  settings: ShardSettings;
  timers: TimerService;
  random: RandomSource;
  platform: FakePlatform;
  service: FakeService;
  bug: InjectedBug | undefined;
  /** Called with each key whose outcome a kill or pause may lose. */
  onExposed: (key: string) => void;
  /** Gets how long the process pauses before it runs a command. */
  getPauseMs: (command: ShardCommand) => number;
};

type WaitingCaller = {
  answer: (answer: LedgerAnswer) => void;
  isDisconnected: () => boolean;
};

/** A dispatched call and the connection to the service that it uses. */
type Dispatch = { callId: CallId; connection: number; shard: number };

/** Time to wait for an answer of the service. */
const answerTimeoutMs = 1000;

/** A sidecar with the real shards, a fake platform and a fake service. */
export class FakeSidecar {
  readonly owner: LedgerOwner;
  readonly #options: FakeSidecarOptions;
  readonly #shards = new Map<number, Shard>();
  readonly #waiting = new Map<CallId, WaitingCaller>();
  readonly #requests = new Map<CallId, string>();
  readonly #dispatches = new Map<number, Dispatch>();
  readonly #backlog: (() => void)[] = [];
  #state: "running" | "paused" | "killed" = "running";
  readonly #freeConnections: number[] = [];
  #connections = 0;
  /** Latest epoch of the store that an answer has stated. */
  #storeEpoch = 0;

  private constructor(options: FakeSidecarOptions) {
    this.#options = options;
    this.owner = options.owner;
  }

  /** Creates a sidecar that owns no shard. */
  static create(options: FakeSidecarOptions): FakeSidecar {
    return new FakeSidecar(options);
  }

  get isAlive(): boolean {
    return this.#state !== "killed";
  }

  /** Shards that have received an event. */
  get shards(): ReadonlyMap<number, Shard> {
    return this.#shards;
  }

  /** Accepts a call; it is never answered if the process is killed. */
  accept(shard: number, call: LedgerCall, waiting: WaitingCaller): void {
    this.#run(() => {
      if (waiting.isDisconnected()) return;
      this.#waiting.set(call.id, waiting);
      this.#requests.set(call.id, `${call.key} ${call.requestHash}`);
      this.#handle(shard, { type: "call", call });
    });
  }

  /** Passes an event to a shard. */
  notify(shard: number, event: ShardEvent): void {
    this.#run(() => this.#handle(shard, event));
  }

  /** Kills the process. */
  stop(): void {
    this.#recordExposed();
    this.#state = "killed";
  }

  /** Pauses the process; events that arrive meanwhile are handled later. */
  pause(durationMs: number): void {
    if (this.#state !== "running") return;
    this.#recordExposed();
    this.#state = "paused";
    this.#options.timers.schedule(durationMs, () => this.#resume());
  }

  /** Records the keys with an intent in memory or in the journal. */
  #recordExposed(): void {
    const { platform, onExposed } = this.#options;
    for (const [shard, { state }] of this.#shards) {
      const stored = platform.store.get(`ledger/${shard}`);
      const journal = stored === undefined
        ? []
        : decodeHead(stored.value).entries;
      for (const entry of [...state.entries.values(), ...journal]) {
        if (entry.state === "intent") onExposed(entry.key);
      }
    }
  }

  #resume(): void {
    if (this.#state !== "paused") return;
    this.#state = "running";
    while (this.#state === "running") {
      const next = this.#backlog.shift();
      if (next === undefined) return;
      next();
    }
  }

  /** Runs a task now, after the pause, or never if the process is killed. */
  #run(task: () => void): void {
    if (this.#state === "running") task();
    else if (this.#state === "paused") this.#backlog.push(task);
  }

  #handle(shard: number, event: ShardEvent): void {
    const { owner, settings, timers } = this.#options;
    let decisions = this.#shards.get(shard);
    if (decisions === undefined) {
      decisions = Shard.create({ owner, getSettings: () => settings });
      this.#shards.set(shard, decisions);
    }
    for (const command of decisions.handle(event, timers.nowMs())) {
      this.#run(() => this.#runAfterPause(shard, command));
    }
  }

  #runAfterPause(shard: number, command: ShardCommand): void {
    const pauseMs = this.#options.getPauseMs(command);
    if (pauseMs === 0) {
      this.#runCommand(shard, command);
      return;
    }
    this.#backlog.push(() => this.#runCommand(shard, command));
    this.pause(pauseMs);
  }

  #runCommand(shard: number, command: ShardCommand): void {
    const { platform, timers } = this.#options;
    const head = `ledger/${shard}`;
    switch (command.type) {
      case "read-head":
        platform.read(
          head,
          (result) => this.notify(shard, formatRead(this.#dropEarlier(result))),
        );
        break;
      case "write-head":
        platform.write(
          head,
          {
            value: encodeHead(command.head),
            expected: command.expected,
          },
          (result) =>
            this.notify(shard, formatWrite(this.#dropEarlier(result))),
        );
        break;
      case "read-segments":
        this.#readSegments(shard, command.slots);
        break;
      case "write-segment":
        platform.write(
          getSegmentPath(shard, command.slot),
          {
            value: encodeSegment(command.segment),
            expected: command.expected,
          },
          (result) =>
            this.notify(
              shard,
              formatSegmentWrite(command.slot, this.#dropEarlier(result)),
            ),
        );
        break;
      case "dispatch":
        this.#dispatch(shard, command);
        break;
      case "answer":
        this.#waiting.get(command.callId)?.answer(command.answer);
        this.#waiting.delete(command.callId);
        this.#requests.delete(command.callId);
        break;
      case "wake":
        timers.schedule(
          command.atMs - timers.nowMs(),
          () => this.notify(shard, { type: "tick" }),
        );
    }
  }

  #readSegments(
    shard: number,
    slots: { slot: number; version: number }[],
  ): void {
    const segments = new Array(slots.length);
    let remaining = slots.length;
    for (const [index, { slot, version }] of slots.entries()) {
      this.#options.platform.read(getSegmentPath(shard, slot), (result) => {
        const isCurrent = result.type === "read" &&
          decodePosition(result.version).revision ===
            decodePosition(version).revision;
        segments[index] = isCurrent
          ? decodeSegment(result.value ?? "")
          : undefined;
        remaining -= 1;
        if (remaining > 0) return;
        const isComplete = !segments.includes(undefined);
        this.notify(
          shard,
          isComplete
            ? { type: "segments-read", segments }
            : { type: "segments-read-failed" },
        );
      });
    }
  }

  /** Drops the answer of an earlier epoch of the store, as the client does. */
  #dropEarlier<Result extends ReadResult | WriteResult>(
    result: Result,
  ): Result | { type: "lost" } {
    if (result.type === "lost") return result;
    const { epoch } = decodePosition(result.version);
    if (epoch < this.#storeEpoch) return { type: "lost" };
    this.#storeEpoch = epoch;
    return result;
  }

  #dispatch(
    shard: number,
    command: Extract<ShardCommand, { type: "dispatch" }>,
  ): void {
    const { callId, notAfterMs } = command;
    if (this.#options.timers.nowMs() > notAfterMs) {
      this.#settle({ callId, shard, connection: -1 }, { type: "not-run" });
      return;
    }
    const connection = this.#takeConnection();
    const dispatch = { callId, shard, connection };
    this.#dispatches.set(connection, dispatch);
    this.#send(dispatch, this.#requests.get(callId) ?? "");
  }

  #send(dispatch: Dispatch, request: string): void {
    const { service, timers, bug } = this.#options;
    service.run({ attempt: dispatch.callId, request }, (answer) => {
      this.#run(() => this.#accept(dispatch, answer));
    });
    timers.schedule(answerTimeoutMs, () =>
      this.#run(() => {
        if (this.#dispatches.get(dispatch.connection) !== dispatch) return;
        if (bug === "retry-without-settlement") this.#send(dispatch, request);
        else this.#settle(dispatch, { type: "unknown", detail: "No answer" });
      }));
  }

  /** Settles a dispatch; drops an answer to an earlier one. */
  #accept(sent: Dispatch, answer: ServiceAnswer): void {
    const dispatch = this.#dispatches.get(sent.connection);
    if (dispatch === undefined) return;
    const isOwn = sent === dispatch ||
      this.#options.bug === "match-by-connection";
    if (!isOwn) return;
    const outcome: CallOutcome = answer.type === "refused"
      ? { type: "not-run" }
      : { type: "answered", answer: answer.answer };
    this.#settle(dispatch, outcome);
  }

  #settle(dispatch: Dispatch, outcome: CallOutcome): void {
    if (this.#dispatches.delete(dispatch.connection)) {
      this.#freeConnections.push(dispatch.connection);
    }
    const { callId, shard } = dispatch;
    this.#handle(shard, { type: "outcome", callId, outcome });
  }

  /** Takes the connection that became free last, or a new one. */
  #takeConnection(): number {
    const free = this.#freeConnections.pop();
    if (free !== undefined) return free;
    this.#connections += 1;
    return this.#connections;
  }
}

function getSegmentPath(shard: number, slot: number): string {
  return `ledger-segment/${shard}.${slot}`;
}

function formatRead(result: ReadResult): ShardEvent {
  if (result.type === "lost") return { type: "head-read-failed" };
  const { version, value } = result;
  const head = value === undefined ? undefined : decodeHead(value);
  return { type: "head-read", version, head };
}

function formatWrite(result: WriteResult): ShardEvent {
  switch (result.type) {
    case "written":
      return { type: "head-written", version: result.version };
    case "conflict":
      return { type: "head-conflict", version: result.version };
    case "lost":
      return { type: "head-write-lost" };
  }
}

function formatSegmentWrite(slot: number, result: WriteResult): ShardEvent {
  switch (result.type) {
    case "written":
      return { type: "segment-written", slot, version: result.version };
    case "conflict":
      return { type: "segment-conflict", slot, version: result.version };
    case "lost":
      return { type: "segment-write-lost", slot };
  }
}
