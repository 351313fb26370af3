import type { ShardCommand, ShardSettings } from "@jasminetide/core/ledger";
import {
  createSeededRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import { VirtualTimerService } from "@jasminetide/core/timers";
import { FakePlatform } from "./fake_platform.ts";
import { FakeRouter } from "./fake_router.ts";
import { FakeService } from "./fake_service.ts";
import { FakeSidecar, type PlantedBug } from "./fake_sidecar.ts";
import { startFaults } from "./fault_plan.ts";
import {
  HistoryChecker,
  type MoneyCounts,
  type MoneyViolation,
} from "./history_checker.ts";
import { MoneyCallers } from "./money_callers.ts";

/** What a randomised run is told. */
export type MoneyRunOptions = {
  seed: number;
  calls: number;
  outageMode: ShardSettings["outageMode"];
  bug?: PlantedBug;
};

/** What a randomised run found. */
export type MoneyRunResult = {
  counts: MoneyCounts;
  violations: MoneyViolation[];
  faults: number;
  platformWrites: number;
  largestObjectBytes: number;
  virtualMs: number;
};

const shardCount = 4;
const sidecarCount = 3;
const routerCount = 2;
const callsPerSecond = 100;
const meanFaultGapMs = 6000;
const startMs = 1_000_000;
const stepMs = 1000;
const drainMs = 60_000;
const innerPauseShare = 0.0002;
const innerPauseMs = 20_000;

/** Runs money calls in virtual time under faults and checks every effect. */
export function runMoney(options: MoneyRunOptions): MoneyRunResult {
  const run = MoneyRun.create(options);
  return run.run();
}

class MoneyRun {
  readonly #options: MoneyRunOptions;
  readonly #timers = VirtualTimerService.create(startMs);
  readonly #random: RandomSource;
  readonly #checker: HistoryChecker;
  readonly #platform: FakePlatform;
  readonly #service: FakeService;
  readonly #settings: ShardSettings;
  readonly #sidecars: FakeSidecar[] = [];
  readonly #lists: FakeSidecar[][] = [];
  #epoch = 0;
  #faults = 0;

  private constructor(options: MoneyRunOptions) {
    const timers = this.#timers;
    const random = createSeededRandom(options.seed);
    this.#options = options;
    this.#random = random;
    this.#checker = HistoryChecker.create({
      isEveryKeyExposed: options.outageMode === "open-window",
    });
    this.#settings = createSettings(options.outageMode);
    this.#platform = FakePlatform.create({
      timers,
      random,
      faults: { lostAnswer: 0.005, lostRequest: 0.002, staleRead: 0.1 },
      callMs: { lowest: 2, highest: 10 },
      ignoresConditions: options.bug === "no-fence",
    });
    this.#service = FakeService.create({
      timers,
      random,
      faults: { refused: 0.005, lostAnswer: 0.003, lateAnswer: 0.003 },
      onEffect: ({ attempt, request }) =>
        this.#checker.recordEffect(attempt, request),
      onLoss: ({ request }) =>
        this.#checker.recordExposed(request.slice(0, request.lastIndexOf(" "))),
    });
  }

  static create(options: MoneyRunOptions): MoneyRun {
    return new MoneyRun(options);
  }

  run(): MoneyRunResult {
    for (let index = 0; index < sidecarCount; index++) {
      this.#sidecars.push(this.#createSidecar(`sidecar-${index}`));
    }
    const callers = MoneyCallers.create({
      timers: this.#timers,
      random: this.#random,
      routers: this.#createRouters(),
      checker: this.#checker,
      callsPerSecond,
      calls: this.#options.calls,
    });
    using _faults = this.#startFaults();
    callers.start();
    while (!callers.isDone) this.#timers.advance(stepMs);
    this.#timers.advance(drainMs);
    return this.#createResult();
  }

  #createResult(): MoneyRunResult {
    return {
      counts: this.#checker.counts,
      violations: this.#checker.violations,
      faults: this.#faults,
      platformWrites: this.#platform.writes,
      largestObjectBytes: this.#platform.largestBytes,
      virtualMs: this.#timers.nowMs() - startMs,
    };
  }

  #createRouters(): FakeRouter[] {
    const routers = [];
    for (let index = 0; index < routerCount; index++) {
      this.#lists.push([...this.#sidecars]);
      routers.push(FakeRouter.create({
        name: `router-${index}`,
        timers: this.#timers,
        random: this.#random,
        checker: this.#checker,
        shardCount,
        getCandidates: () => this.#lists[index],
      }));
    }
    return routers;
  }

  #createSidecar(name: string): FakeSidecar {
    this.#epoch += 1;
    return FakeSidecar.create({
      owner: { name, epoch: this.#epoch },
      settings: this.#settings,
      timers: this.#timers,
      random: this.#random,
      platform: this.#platform,
      service: this.#service,
      bug: this.#options.bug,
      onExposed: (key) => this.#checker.recordExposed(key),
      getPauseMs: (command) => this.#getPauseMs(command),
    });
  }

  #getPauseMs(command: ShardCommand): number {
    const isRisky = command.type === "dispatch" ||
      command.type === "write-head";
    if (!isRisky || this.#random.getFloat() >= innerPauseShare) return 0;
    return this.#random.getFloat() * innerPauseMs;
  }

  #startFaults(): Disposable {
    const count = <Arguments extends unknown[]>(
      fault: (...values: Arguments) => void,
    ) =>
    (...values: Arguments) => {
      this.#faults += 1;
      fault(...values);
    };
    return startFaults({
      timers: this.#timers,
      random: this.#random,
      meanGapMs: meanFaultGapMs,
      setOutage: count((isDown) => void (this.#platform.isDown = isDown)),
      pause: count((durationMs) => this.#choose().pause(durationMs)),
      replace: count((delayMs) => this.#replace(delayMs)),
      leave: count(() => this.#drain()),
      mixLists: count(() => this.#mixLists()),
    });
  }

  #choose(): FakeSidecar {
    return this.#sidecars[this.#random.getInteger(this.#sidecars.length)];
  }

  #replace(delayMs: number): void {
    const old = this.#choose();
    if (!old.isAlive) return;
    old.stop();
    const isSameName = this.#random.getFloat() < 0.5;
    this.#timers.schedule(delayMs, () => {
      const name = isSameName ? old.owner.name : `sidecar-${this.#epoch}`;
      const next = this.#createSidecar(name);
      this.#sidecars[this.#sidecars.indexOf(old)] = next;
      this.#mixLists();
    });
  }

  #drain(): void {
    const sidecar = this.#choose();
    for (const shard of sidecar.shards.keys()) {
      sidecar.notify(shard, { type: "leave" });
    }
    this.#timers.schedule(leaveMs, () => {
      const index = this.#sidecars.indexOf(sidecar);
      if (!sidecar.isAlive || index < 0) return;
      sidecar.stop();
      this.#sidecars[index] = this.#createSidecar(sidecar.owner.name);
      this.#mixLists();
    });
  }

  /** Each router lacks a sidecar or holds a dead one for some time. */
  #mixLists(): void {
    for (const index of this.#lists.keys()) {
      const delayMs = this.#random.getFloat() * listLagMs;
      const isShort = this.#random.getFloat() < 0.3;
      this.#timers.schedule(delayMs, () => {
        this.#lists[index] = this.#sidecars.slice(isShort ? 1 : 0);
      });
    }
  }
}

const leaveMs = 5000;
const listLagMs = 4000;

function createSettings(
  outageMode: ShardSettings["outageMode"],
): ShardSettings {
  return {
    windowMs: 240_000,
    maximumEntriesPerShard: 2048,
    groupCommitMs: 20,
    leaseMs: 10_000,
    outageMode,
    openWindowMs: 30_000,
  };
}
