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
import type { TimerService } from "@jasminetide/core/timers";
import type { FakePlatform, ReadResult, WriteResult } from "./fake_platform.ts";
import type { FakeService, ServiceAnswer } from "./fake_service.ts";

/** Faults that a run plants on purpose. */
export type PlantedBug =
  | "no-fence"
  | "retry-without-settlement"
  | "match-by-connection";

/** What one sidecar of a run works with. */
export type FakeSidecarOptions = {
  owner: LedgerOwner;
  settings: ShardSettings;
  timers: TimerService;
  random: RandomSource;
  platform: FakePlatform;
  service: FakeService;
  bug: PlantedBug | undefined;
  /** Told of each key whose outcome a kill or pause may lose. */
  onExposed: (key: string) => void;
  /** Says for how long the process pauses before it carries out a command. */
  getPauseMs: (command: ShardCommand) => number;
};

type Waiting = {
  answer: (answer: LedgerAnswer) => void;
  isGone: () => boolean;
};

/** A dispatch that holds a connection to the service. */
type Dispatch = { callId: CallId; connection: number; shard: number };

const answerTimeoutMs = 1000;

/** One sidecar: the real shards with fakes around them. */
export class FakeSidecar {
  readonly owner: LedgerOwner;
  readonly #options: FakeSidecarOptions;
  readonly #shards = new Map<number, Shard>();
  readonly #waiting = new Map<CallId, Waiting>();
  readonly #requests = new Map<CallId, string>();
  readonly #dispatches = new Map<number, Dispatch>();
  readonly #backlog: (() => void)[] = [];
  #state: "running" | "paused" | "killed" = "running";
  readonly #freeConnections: number[] = [];
  #connections = 0;

  private constructor(options: FakeSidecarOptions) {
    this.#options = options;
    this.owner = options.owner;
  }

  /** Creates a sidecar that owns nothing yet. */
  static create(options: FakeSidecarOptions): FakeSidecar {
    return new FakeSidecar(options);
  }

  get isAlive(): boolean {
    return this.#state !== "killed";
  }

  /** Shards that have been asked for. */
  get shards(): ReadonlyMap<number, Shard> {
    return this.#shards;
  }

  /** Takes a call; the answer never comes when the process dies. */
  accept(shard: number, call: LedgerCall, waiting: Waiting): void {
    this.#run(() => {
      if (waiting.isGone()) return;
      this.#waiting.set(call.id, waiting);
      this.#requests.set(call.id, `${call.key} ${call.requestHash}`);
      this.#handle(shard, { type: "call", call });
    });
  }

  /** Tells all shards of an event. */
  notify(shard: number, event: ShardEvent): void {
    this.#run(() => this.#handle(shard, event));
  }

  /** Ends at once. */
  stop(): void {
    this.#recordExposed();
    this.#state = "killed";
  }

  /** Stops for a while; what arrives meanwhile waits. */
  pause(durationMs: number): void {
    if (this.#state !== "running") return;
    this.#recordExposed();
    this.#state = "paused";
    this.#options.timers.schedule(durationMs, () => this.#resume());
  }

  /** Keys with an intent here or in the journal. */
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

  /** Runs now, after the pause, or never. */
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
        platform.read(head, (result) => this.notify(shard, formatRead(result)));
        break;
      case "write-head":
        platform.write(head, {
          value: encodeHead(command.head),
          expected: command.expected,
        }, (result) => this.notify(shard, formatWrite(result)));
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
            this.notify(shard, formatSegmentWrite(command.slot, result)),
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
    let left = slots.length;
    for (const [index, { slot, version }] of slots.entries()) {
      this.#options.platform.read(getSegmentPath(shard, slot), (result) => {
        const isWanted = result.type === "read" && result.version === version;
        segments[index] = isWanted
          ? decodeSegment(result.value ?? "")
          : undefined;
        left -= 1;
        if (left > 0) return;
        const isWhole = !segments.includes(undefined);
        this.notify(
          shard,
          isWhole
            ? { type: "segments-read", segments }
            : { type: "segments-read-failed" },
        );
      });
    }
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

  /** An answer whose attempt is not the one waited for is dropped. */
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
