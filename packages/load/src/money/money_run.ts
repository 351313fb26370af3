/** Randomised run of the ledger in virtual time, with faults. */
import type { ShardCommand, ShardSettings } from "@jasminetide/core/ledger";
import {
  createSeededRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import { VirtualTimerService } from "@jasminetide/core/timers";
import type { StoreCopy } from "@jasminetide/stand_in/object_api";
import { FakePlatform } from "./fake_platform.ts";
import { FakeRouter } from "./fake_router.ts";
import { FakeService } from "./fake_service.ts";
import { FakeSidecar, type InjectedBug } from "./fake_sidecar.ts";
import { startFaults } from "./fault_plan.ts";
import {
  HistoryChecker,
  type MoneyCounts,
  type MoneyViolation,
} from "./history_checker.ts";
import { MoneyCallers } from "./money_callers.ts";

/** Parameters of a randomised run. */
export type MoneyRunOptions = {
  seed: number;
  calls: number;
  outageMode: ShardSettings["outageMode"];
  /** Bug that the run is expected to find. */
  bug?: InjectedBug;
  /** Whether the platform's store is restored from copies at random times. */
  restoresStore?: boolean;
};

/** Results of a randomised run. */
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
/** Time for open calls to complete after the last one was sent. */
const drainMs = 60_000;
/** Share of dispatches and writes of the head that a pause precedes. */
const commandPauseShare = 0.0002;
/** Longest pause before a dispatch or a write of the head. */
const maxCommandPauseMs = 20_000;

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
  readonly #routerLists: FakeSidecar[][] = [];
  #epoch = 0;
  #faults = 0;

  private constructor(options: MoneyRunOptions) {
    const timers = this.#timers;
    const random = createSeededRandom(options.seed);
    this.#options = options;
    this.#random = random;
    this.#checker = HistoryChecker.create({
      isEveryKeyExposed: options.outageMode === "open-window" ||
        options.restoresStore === true,
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
    if (this.#options.restoresStore === true) this.#scheduleRestores();
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
      this.#routerLists.push([...this.#sidecars]);
      routers.push(FakeRouter.create({
        name: `router-${index}`,
        timers: this.#timers,
        random: this.#random,
        checker: this.#checker,
        shardCount,
        getCandidates: () => this.#routerLists[index],
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
      getPauseMs: (command) => this.#drawPauseMs(command),
    });
  }

  #drawPauseMs(command: ShardCommand): number {
    const mayPause = command.type === "dispatch" ||
      command.type === "write-head";
    if (!mayPause || this.#random.getFloat() >= commandPauseShare) return 0;
    return this.#random.getFloat() * maxCommandPauseMs;
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
      pause: count((durationMs) => this.#chooseSidecar().pause(durationMs)),
      replace: count((delayMs) => this.#replaceSidecar(delayMs)),
      leave: count(() => this.#drainSidecar()),
      mixLists: count(() => this.#mixLists()),
    });
  }

  /** Copies the store each second; restores an old copy from time to time. */
  #scheduleRestores(): void {
    const copies: StoreCopy[] = [];
    const copyOrRestore = () => {
      copies.push(this.#platform.store.copy());
      if (copies.length > maxCopyAgeS) copies.shift();
      const isOldEnough = copies.length === maxCopyAgeS;
      if (isOldEnough && this.#random.getFloat() < restoresPerSecond) {
        this.#faults += 1;
        const chosen = copies[this.#random.getInteger(copies.length)];
        this.#platform.restore(chosen);
      }
      this.#timers.schedule(copyPeriodMs, copyOrRestore);
    };
    copyOrRestore();
  }

  #chooseSidecar(): FakeSidecar {
    return this.#sidecars[this.#random.getInteger(this.#sidecars.length)];
  }

  #replaceSidecar(delayMs: number): void {
    const old = this.#chooseSidecar();
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

  #drainSidecar(): void {
    const sidecar = this.#chooseSidecar();
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

  /**
   * Updates the routers' lists after random delays, so each lists a stopped
   * sidecar for some time, and some omit a running one.
   */
  #mixLists(): void {
    for (const index of this.#routerLists.keys()) {
      const delayMs = this.#random.getFloat() * listLagMs;
      const isShort = this.#random.getFloat() < 0.3;
      this.#timers.schedule(delayMs, () => {
        this.#routerLists[index] = this.#sidecars.slice(isShort ? 1 : 0);
      });
    }
  }
}

const copyPeriodMs = 1000;
/** Age of the oldest copy, in seconds. */
const maxCopyAgeS = 15;
const restoresPerSecond = 0.01;
/** Time from the start of a drain to the stop of the sidecar. */
const leaveMs = 5000;
/** Longest delay until a router sees a changed list. */
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
