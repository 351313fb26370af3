import {
  type CallId,
  type CallOutcome,
  getShard,
  type LedgerAnswer,
  type LedgerCall,
  type LedgerOwner,
  rankOwners,
  Shard,
  type ShardCommand,
  type ShardEvent,
  type ShardSettings,
} from "@jasminetide/core/ledger";
import { AppError, normalizeError } from "@jasminetide/core/results";
import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import type { Metrics } from "@jasminetide/runtime/metrics";
import type { HostRecord, PlatformClient } from "@jasminetide/runtime/platform";
import { type MoneyRequest, runCall, type RunnerAccess } from "./run_call.ts";
import { JournalStore } from "./journal_store.ts";
import { loadShardCount } from "./layout.ts";
import { applyResolution } from "./resolutions.ts";

/** Dependencies of the ledger of one sidecar. */
export type LedgerOptions = {
  service: string;
  owner: LedgerOwner;
  platform: PlatformClient;
  timers: TimerService;
  logger: Logger;
  metrics: Metrics;
  runner: RunnerAccess;
  /** Whether the runner serves money calls; if not, no shards are claimed. */
  isEnabled: boolean;
  /** Gets the settings, or undefined before a configuration is loaded. */
  getSettings: () => (ShardSettings & { shardCount: number }) | undefined;
};

/** A call without an answer yet. */
type PendingCall = {
  request: MoneyRequest;
  resolve: (answer: LedgerAnswer) => void;
};

/** Time between claims of free shards; also the retry delay of refusals. */
const proposePeriodMs = 2000;

/** Time between checks whether all shards are released. */
const leavePollMs = 20;

/** Longest wait for the release of the shards when the sidecar stops. */
const leaveTimeoutMs = 3000;

/**
 * The ledger shards of one service at one sidecar. Runs the commands of the
 * shards and returns the results to them as events.
 */
export class Ledger {
  readonly #options: LedgerOptions;
  readonly #store: JournalStore;
  readonly #shards = new Map<number, Shard>();
  readonly #wakes = new Map<number, TimerSubscription>();
  readonly #calls = new Map<CallId, PendingCall>();
  readonly #proposal: TimerSubscription;
  #isLeaving = false;
  #shardCount: Promise<number> | undefined;
  #settings: ShardSettings | undefined;

  private constructor(options: LedgerOptions) {
    this.#options = options;
    this.#store = JournalStore.create(options);
    this.#proposal = options.timers.subscribe(
      proposePeriodMs,
      () => void this.#claimPreferredShards(),
    );
  }

  /** Creates the ledger of a service. A shard is created by its first event. */
  static create(options: LedgerOptions): Ledger {
    return new Ledger(options);
  }

  /**
   * Gets the number of shards of the service.
   *
   * @throws AppError `platformUnavailable` before a configuration is loaded, or
   * when the number cannot be read.
   */
  getShardCount(): Promise<number> {
    const settings = this.#options.getSettings();
    if (settings === undefined) {
      return Promise.reject(
        AppError.create(
          "platformUnavailable",
          "No configuration has been loaded yet",
        ),
      );
    }
    this.#settings = settings;
    this.#shardCount ??= this.#loadShardCount(settings.shardCount);
    return this.#shardCount;
  }

  async #loadShardCount(wantedCount: number): Promise<number> {
    const { service, platform, logger } = this.#options;
    try {
      const count = await loadShardCount(service, { platform, wantedCount });
      if (count !== wantedCount) {
        logger.warn("ledger-shard-count-kept", { service, count, wantedCount });
      }
      return count;
    } catch (error) {
      this.#shardCount = undefined;
      throw error;
    }
  }

  /** Answers a call; never throws. */
  async answer(call: LedgerCall, request: MoneyRequest): Promise<LedgerAnswer> {
    let shard: number;
    try {
      shard = getShard(call.key, await this.getShardCount());
    } catch (thrown) {
      return createUnavailable(normalizeError(thrown).message);
    }
    const answer = await new Promise<LedgerAnswer>((resolve) => {
      this.#calls.set(call.id, { request, resolve });
      this.#handle(shard, { type: "call", call });
    });
    this.#calls.delete(call.id);
    this.#options.metrics.count(`ledger-${getAnswerName(answer)}`);
    return applyResolution(answer, { ...this.#options, shard, key: call.key });
  }

  /** Summarizes the state of each shard for a dump. */
  getDump() {
    return [...this.#shards].map(([shard, { state }]) => ({
      shard,
      role: state.role.type,
      version: state.version,
      entries: state.entries.size,
      headBytes: state.headTotalBytes,
      floorMs: state.floorMs,
      calls: state.calls.size,
    }));
  }

  /** Refuses new calls; each shard is released after its last call. */
  drain(): void {
    this.#isLeaving = true;
    this.#proposal[Symbol.dispose]();
    for (const shard of this.#shards.keys()) {
      this.#handle(shard, { type: "leave" });
    }
  }

  /** Waits for the calls in flight and the release of the shards. */
  async [Symbol.asyncDispose](): Promise<void> {
    const { timers } = this.#options;
    this.drain();
    const endAtMs = timers.nowMs() + leaveTimeoutMs;
    while (!this.#isReleased() && timers.nowMs() < endAtMs) {
      await new Promise<void>((resolve) => {
        timers.schedule(leavePollMs, () => resolve());
      });
    }
    for (const wake of this.#wakes.values()) wake[Symbol.dispose]();
  }

  #isReleased(): boolean {
    return [...this.#shards.values()].every((shard) => shard.isReleased);
  }

  /** Claims the free shards of which this runner is the preferred owner. */
  async #claimPreferredShards(): Promise<void> {
    const { service, owner, platform, isEnabled } = this.#options;
    if (!isEnabled) return;
    try {
      const shardCount = await this.getShardCount();
      const hosts = await platform.loadHosts();
      const isHostLeaving = listRunnerNames(hosts, {
        service,
        state: "leaving",
      })
        .includes(owner.name);
      if (isHostLeaving) {
        this.drain();
        return;
      }
      const candidates = listRunnerNames(hosts, { service, state: "live" });
      for (let shard = 0; shard < shardCount; shard++) {
        const [first] = rankOwners({ service, shard, candidates });
        if (first === owner.name) this.#handle(shard, { type: "propose" });
      }
    } catch (thrown) {
      const { code } = normalizeError(thrown);
      this.#options.logger.debug("ledger-proposal-failed", { code });
    }
  }

  #handle(shard: number, event: ShardEvent): void {
    let machine = this.#shards.get(shard);
    if (machine === undefined) {
      machine = Shard.create({
        owner: this.#options.owner,
        getSettings: () => this.#getSettings(),
      });
      this.#shards.set(shard, machine);
      if (this.#isLeaving) this.#handle(shard, { type: "leave" });
    }
    const before = machine.state.role.type;
    const commands = machine.handle(event, this.#options.timers.nowMs());
    const after = machine.state.role.type;
    if (after !== before && (after === "owner" || before === "owner")) {
      this.#options.logger.info("ledger-role", { shard, role: after });
    }
    for (const command of commands) this.#run(shard, command);
  }

  #getSettings(): ShardSettings {
    this.#settings = this.#options.getSettings() ?? this.#settings;
    if (this.#settings !== undefined) return this.#settings;
    throw AppError.create(
      "internal",
      "No ledger settings have been loaded yet",
    );
  }

  #run(shard: number, command: ShardCommand): void {
    switch (command.type) {
      case "read-head":
        this.#handleLater(shard, this.#store.readHead(shard));
        break;
      case "write-head":
        this.#options.metrics.count("ledger-writes");
        this.#handleLater(shard, this.#store.writeHead(shard, command));
        break;
      case "read-segments":
        this.#handleLater(
          shard,
          this.#store.readSegments(shard, command.slots),
        );
        break;
      case "write-segment":
        this.#handleLater(shard, this.#store.writeSegment(shard, command));
        break;
      case "dispatch":
        this.#handleLater(shard, this.#dispatch(command));
        break;
      case "answer":
        this.#calls.get(command.callId)?.resolve(command.answer);
        break;
      case "wake":
        this.#schedule(shard, command.atMs);
    }
  }

  async #dispatch(
    command: Extract<ShardCommand, { type: "dispatch" }>,
  ): Promise<ShardEvent> {
    const { callId, notAfterMs } = command;
    const call = this.#calls.get(callId);
    const outcome: CallOutcome = call === undefined
      ? { type: "not-run" }
      : await runCall(call.request, {
        runner: this.#options.runner,
        timers: this.#options.timers,
        notAfterMs,
      });
    return { type: "outcome", callId, outcome };
  }

  #handleLater(shard: number, event: Promise<ShardEvent>): void {
    void event.then((event) => this.#handle(shard, event));
  }

  #schedule(shard: number, atMs: number): void {
    const { timers } = this.#options;
    this.#wakes.get(shard)?.[Symbol.dispose]();
    this.#wakes.set(
      shard,
      timers.schedule(
        Math.max(0, atMs - timers.nowMs()),
        () => this.#handle(shard, { type: "tick" }),
      ),
    );
  }
}

/** Lists the names of a service's runners on hosts in the given state. */
function listRunnerNames(
  hosts: HostRecord[],
  options: { service: string; state: HostRecord["state"] },
): string[] {
  return hosts.filter((host) => host.state === options.state)
    .flatMap((host) => host.processes)
    .filter((process) => process.type === "sidecar")
    .filter((process) => process.pools.includes(options.service))
    .map((process) => process.runner);
}

function createUnavailable(detail: string): LedgerAnswer {
  return {
    type: "refused",
    result: "ledgerUnavailable",
    executed: "unknown",
    detail,
    retryAfterMs: proposePeriodMs,
  };
}

function getAnswerName(answer: LedgerAnswer): string {
  if (answer.type === "refused") return answer.result;
  if (answer.type === "answered" && answer.isStored) return "stored";
  return answer.type;
}
