import { hash32 } from "../../hashing/mod.ts";
import { createSeededRandom, type RandomSource } from "../../random/mod.ts";
import { VirtualTimerService } from "../../timers/mod.ts";
import {
  CapacityForecast,
  choosePlainRunner,
  chooseRunnerInTime,
  getReturnWithinMs,
  type PoolRunner,
  type ReportedLoad,
  RunnerHealth,
  RunnerLoad,
  ServiceTime,
} from "../mod.ts";

/** Load and policy of a replay on a service with few places. */
export type CrowdedReplayOptions = {
  routers: number;
  /** Requests that arrive, as a share of what the runners can do. */
  demand: number;
  /** Routers that each router tells of a load that it has learned. */
  fanout: number;
  /** Whether requests are refused that would wait for too long. */
  refusesLate: boolean;
  durationMs: number;
};

/** Shares of all requests by what became of them. */
export type CrowdedReplayResult = {
  inTime: number;
  late: number;
  refused: number;
};

const seed = 43;

/** Time after the last arrival in which all are answered. */
const tailMs = 10_000;

const runnerCount = 3;
const slots = 6;
const maxWaiting = 24;
const meanWorkMs = 60;
const goalMs = 300;
const timeoutMs = 1500;
/** One way between a router and a runner or another router. */
const linkMs = 3;

type Runner = { running: number; queue: (() => void)[] };

/** One request of a caller. */
type Call = { startMs: number; workMs: number; isRepeated: boolean };

type Router = {
  runners: PoolRunner[];
  forecast: CapacityForecast;
  service: ServiceTime;
};

/** Replays callers of a service that has less room than they ask for at times. */
export class CrowdedReplay {
  readonly #options: CrowdedReplayOptions;
  readonly #timers = VirtualTimerService.create();
  readonly #random: RandomSource = createSeededRandom(seed);
  readonly #runners: Runner[];
  readonly #routers: Router[];
  readonly #counts = { inTime: 0, late: 0, refused: 0 };

  private constructor(options: CrowdedReplayOptions) {
    this.#options = options;
    this.#runners = Array.from(
      { length: runnerCount },
      () => ({ running: 0, queue: [] }),
    );
    this.#routers = Array.from({ length: options.routers }, createRouter);
  }

  /** Replays a load; returns the shares of all its requests. */
  static run(options: CrowdedReplayOptions): CrowdedReplayResult {
    const replay = new CrowdedReplay(options);
    const calls = replay.#scheduleArrivals();
    replay.#timers.advance(options.durationMs + tailMs);
    const { inTime, late, refused } = replay.#counts;
    return {
      inTime: inTime / calls,
      late: late / calls,
      refused: refused / calls,
    };
  }

  #scheduleArrivals(): number {
    const { demand, durationMs } = this.#options;
    const perMs = demand * runnerCount * slots / meanWorkMs;
    let calls = 0;
    let atMs = 0;
    while (atMs < durationMs) {
      atMs += -Math.log(1 - this.#random.getFloat()) / perMs;
      const workMs = meanWorkMs * (0.5 + this.#random.getFloat());
      const startMs = atMs;
      calls += 1;
      this.#timers.schedule(
        atMs,
        () => this.#call({ startMs, workMs, isRepeated: false }),
      );
    }
    return calls;
  }

  #call(call: Call): void {
    const router = this.#routers[
      this.#random.getInteger(this.#routers.length)
    ];
    const chosen = this.#choose(router, router.runners);
    if (chosen === undefined) this.#refuse(router, call);
    else this.#send(router, chosen, call);
  }

  #choose(
    router: Router,
    runners: readonly PoolRunner[],
  ): PoolRunner | undefined {
    const nowMs = this.#timers.nowMs();
    const context = { nowMs, random: this.#random, failureDomain: "a" };
    if (!this.#options.refusesLate) return choosePlainRunner(runners, context);
    const serviceMs = router.service.getMs({ goalMs, nowMs });
    return chooseRunnerInTime(runners, { ...context, goalMs, serviceMs });
  }

  #send(router: Router, chosen: PoolRunner, call: Call): void {
    const runner = this.#runners[router.runners.indexOf(chosen)];
    const sentMs = this.#timers.nowMs();
    chosen.load.ownOutstanding += 1;
    const receive = (load: ReportedLoad) => {
      chosen.load.ownOutstanding -= 1;
      this.#spread(router, chosen, load);
      return load;
    };
    this.#timers.schedule(linkMs, () => {
      if (runner.running >= slots && runner.queue.length >= maxWaiting) {
        const load = describe(runner);
        this.#timers.schedule(linkMs, () => {
          receive(load);
          this.#refuse(router, call);
        });
        return;
      }
      const begin = () => {
        runner.running += 1;
        this.#timers.schedule(call.workMs, () => {
          runner.running -= 1;
          runner.queue.shift()?.();
          const load = describe(runner);
          this.#timers.schedule(linkMs, () => {
            receive(load);
            const nowMs = this.#timers.nowMs();
            router.forecast.recordCompletion(nowMs);
            router.service.observe(nowMs - sentMs, { load, nowMs });
            this.#answer(call);
          });
        });
      };
      if (runner.running < slots) begin();
      else runner.queue.push(begin);
    });
  }

  /** Records a reported load, and tells it to some other routers. */
  #spread(router: Router, chosen: PoolRunner, load: ReportedLoad): void {
    const atMs = this.#timers.nowMs();
    chosen.load.observe(load, atMs);
    const index = router.runners.indexOf(chosen);
    for (let count = 0; count < this.#options.fanout; count++) {
      const other = this.#routers[
        this.#random.getInteger(this.#routers.length)
      ];
      this.#timers.schedule(
        linkMs,
        () => other.runners[index].load.observe(load, atMs),
      );
    }
  }

  #answer({ startMs }: Call): void {
    const durationMs = this.#timers.nowMs() - startMs;
    if (durationMs <= goalMs) this.#counts.inTime += 1;
    else if (durationMs <= timeoutMs) this.#counts.late += 1;
  }

  /** Refuses a call; its caller comes back once. */
  #refuse({ forecast, service }: Router, call: Call): void {
    const nowMs = this.#timers.nowMs();
    const serviceMs = service.getMs({ goalMs, nowMs });
    const delayMs = forecast.recordRefusal({
      nowMs,
      leftMs: call.startMs + 2 * timeoutMs - nowMs,
      returnWithinMs: this.#options.refusesLate
        ? getReturnWithinMs({ goalMs, serviceMs })
        : undefined,
      random: this.#random.getFloat(),
    });
    if (call.isRepeated) {
      this.#counts.refused += 1;
      return;
    }
    this.#timers.schedule(
      delayMs,
      () => this.#call({ ...call, isRepeated: true }),
    );
  }
}

function describe({ queue, running }: Runner): ReportedLoad {
  return { running, waiting: queue.length, slots };
}

function createRouter(): Router {
  return {
    runners: Array.from({ length: runnerCount }, (_, index) => ({
      id: `runner-${index}`,
      idHash: hash32(`runner-${index}`),
      listedAtMs: 0,
      failureDomain: "a",
      slots,
      load: RunnerLoad.create(),
      health: RunnerHealth.create(),
    })),
    forecast: CapacityForecast.create(),
    service: ServiceTime.create(),
  };
}
