import {
  choosePlainRunner,
  type PoolRunner,
  WindowedRetryBudget,
} from "../../pools/mod.ts";
import { createSeededRandom, type RandomSource } from "../../random/mod.ts";
import { VirtualTimerService } from "../../timers/mod.ts";
import { type HedgeLimits, HedgePolicy, selectHedgeRunners } from "../mod.ts";
import {
  createPoolRunners,
  failureDomains,
  HedgeRunner,
  runnerCount,
} from "./hedge_runner.ts";

/** Load, disturbance and limits of a replay. */
export type HedgeReplayOptions = {
  seed: number;
  routers: number;
  /** Requests a second at each router, by time since the start. */
  getRate: (atMs: number) => number;
  /** Disturbs the runners, once every 100 ms. */
  disturb: (runners: readonly HedgeRunner[], atMs: number) => void;
  /** Limits on hedges; none are sent if absent. */
  limits: HedgeLimits | undefined;
  durationMs: number;
};

/** What callers saw, and what it cost. */
export type HedgeReplayResult = {
  /** Times to the answers of requests that were answered, by kind. */
  lookupMs: number[];
  bookingMs: number[];
  failed: number;
  requestTimesMs: number[];
  hedgeTimesMs: number[];
  busyMs: number;
};

/** Share of the requests that may be repeated. */
const lookupShare = 0.3;
const meanWorkMs = 20;
/** One way between a router and a runner. */
const linkMs = 1;
/** Silence after which another runner takes a lookup over. */
const takeoverMs = 300;
const timeoutMs = 1500;
const retryLimits = { ratio: 0.2, slack: 54, windowMs: 10_000 };

type Router = {
  runners: PoolRunner[];
  policy: HedgePolicy | undefined;
  retries: WindowedRetryBudget;
};

/** An attempt that a router has sent. */
type Sent = { runner: PoolRunner; cancel: () => void };

/** One request of a caller. */
type Call = {
  router: Router;
  isLookup: boolean;
  workMs: number;
  startMs: number;
  sent: Sent[];
  isHedged: boolean;
  isEnded: boolean;
};

/** Replays callers of a plain service, some of whose answers are late. */
export class HedgeReplay {
  readonly #options: HedgeReplayOptions;
  readonly #timers = VirtualTimerService.create();
  /** Decides arrivals, which are the same with hedges and without. */
  readonly #arrivals: RandomSource;
  readonly #random: RandomSource;
  readonly #runners: HedgeRunner[];
  readonly #routers: Router[];
  readonly #startMs: number;
  readonly #result: HedgeReplayResult = {
    lookupMs: [],
    bookingMs: [],
    failed: 0,
    requestTimesMs: [],
    hedgeTimesMs: [],
    busyMs: 0,
  };

  private constructor(options: HedgeReplayOptions) {
    this.#options = options;
    this.#arrivals = createSeededRandom(options.seed);
    this.#random = createSeededRandom(options.seed + 1);
    this.#startMs = this.#timers.nowMs();
    this.#runners = Array.from(
      { length: runnerCount },
      () => HedgeRunner.create(this.#timers),
    );
    this.#routers = Array.from({ length: options.routers }, () => ({
      runners: createPoolRunners(),
      policy: options.limits && HedgePolicy.create(options.limits),
      retries: WindowedRetryBudget.create({
        ...retryLimits,
        startedAtMs: Number.NEGATIVE_INFINITY,
      }),
    }));
  }

  /** Replays a load. */
  static run(options: HedgeReplayOptions): HedgeReplayResult {
    const replay = new HedgeReplay(options);
    for (const router of replay.#routers) replay.#scheduleNext(router);
    for (let atMs = 0; atMs < options.durationMs; atMs += disturbancePeriodMs) {
      replay.#timers.schedule(
        atMs,
        () => options.disturb(replay.#runners, atMs),
      );
    }
    replay.#timers.advance(options.durationMs + 5000);
    for (const { busyMs } of replay.#runners) replay.#result.busyMs += busyMs;
    return replay.#result;
  }

  #scheduleNext(router: Router): void {
    const { durationMs, getRate } = this.#options;
    const atMs = this.#timers.nowMs() - this.#startMs;
    const gapMs = -Math.log(1 - this.#arrivals.getFloat()) * 1000 /
      getRate(atMs);
    if (atMs + gapMs >= durationMs) return;
    this.#timers.schedule(gapMs, () => {
      this.#call(router);
      this.#scheduleNext(router);
    });
  }

  #call(router: Router): void {
    const call: Call = {
      router,
      isLookup: this.#arrivals.getFloat() < lookupShare,
      workMs: meanWorkMs * (0.5 + this.#arrivals.getFloat()),
      startMs: this.#timers.nowMs(),
      sent: [],
      isHedged: false,
      isEnded: false,
    };
    this.#result.requestTimesMs.push(call.startMs);
    router.policy?.recordRequest(call.startMs);
    router.retries.recordRequest(call.startMs);
    this.#send(call, router.runners);
    this.#timers.schedule(timeoutMs, () => this.#fail(call));
    if (!call.isLookup) return;
    this.#timers.schedule(takeoverMs, () => this.#takeOver(call));
    const delayMs = router.policy?.getDelayMs(routeName, call.startMs);
    if (delayMs === undefined) return;
    this.#timers.schedule(delayMs, () => this.#hedge(call));
  }

  #hedge(call: Call): void {
    const { policy, retries, runners } = call.router;
    if (policy === undefined || call.isEnded || call.sent.length !== 1) return;
    const nowMs = this.#timers.nowMs();
    const late = call.sent[0].runner;
    const routers = this.#routers.length;
    const hasRetriesToSpare = retries.hasHalfLeft(nowMs, routers);
    const refusal = policy.findRefusal({
      nowMs,
      hasRetriesToSpare,
      timerDelayMs: 0,
    });
    const selection = selectHedgeRunners(runners, { late, nowMs });
    if (refusal !== undefined || selection.type === "none") return;
    if (!retries.tryTake(nowMs, routers)) return;
    policy.recordHedge(nowMs);
    call.isHedged = true;
    this.#result.hedgeTimesMs.push(nowMs);
    this.#send(call, selection.runners);
  }

  #takeOver(call: Call): void {
    if (call.isEnded || call.sent.length !== 1) return;
    const nowMs = this.#timers.nowMs();
    const [{ runner }] = call.sent;
    runner.health.observe("lost", nowMs);
    const { retries, runners } = call.router;
    if (!retries.tryTake(nowMs, this.#routers.length)) return;
    this.#send(call, runners.filter((other) => other !== runner));
  }

  #send(call: Call, runners: readonly PoolRunner[]): void {
    const nowMs = this.#timers.nowMs();
    const random = this.#random;
    const context = { nowMs, random, failureDomain: failureDomains[0] };
    const chosen = choosePlainRunner(runners, context);
    if (chosen === undefined) return;
    const sent: Sent = { runner: chosen, cancel: () => {} };
    let cancelAtRunner = () => {};
    let isOver = false;
    chosen.load.ownOutstanding += 1;
    sent.cancel = () => {
      if (isOver) return;
      isOver = true;
      chosen.load.ownOutstanding -= 1;
      this.#timers.schedule(linkMs, () => cancelAtRunner());
    };
    const reply = (handle: () => void) =>
      void this.#timers.schedule(linkMs, () => {
        if (isOver) return;
        isOver = true;
        chosen.load.ownOutstanding -= 1;
        handle();
      });
    call.sent.push(sent);
    this.#timers.schedule(linkMs, () => {
      const runner = this.#runners[call.router.runners.indexOf(chosen)];
      cancelAtRunner = runner.accept({
        workMs: call.workMs,
        onDone: (load) =>
          reply(() => {
            chosen.load.observe(load, this.#timers.nowMs());
            chosen.health.observe("succeeded", this.#timers.nowMs());
            this.#answer(call, sent);
          }),
        onRefused: (load) =>
          reply(() => {
            chosen.load.observe(load, this.#timers.nowMs());
            chosen.health.observe("failed", this.#timers.nowMs());
            call.router.policy?.recordRefusal(this.#timers.nowMs());
            if (call.sent.length === 1) this.#fail(call);
          }),
      });
    });
  }

  #answer(call: Call, sent: Sent): void {
    if (call.isEnded) return;
    const nowMs = this.#timers.nowMs();
    const [first] = call.sent;
    const isWon = call.isHedged && sent !== first;
    if (isWon) first.runner.health.observe("late", nowMs);
    const durationMs = nowMs - call.startMs;
    const { bookingMs, lookupMs } = this.#result;
    (call.isLookup ? lookupMs : bookingMs).push(durationMs);
    if (call.isLookup) {
      call.router.policy?.recordAnswer(routeName, { durationMs, nowMs });
    }
    this.#end(call);
  }

  #fail(call: Call): void {
    if (call.isEnded) return;
    this.#result.failed += 1;
    for (const { runner } of call.sent) {
      runner.health.observe("lost", this.#timers.nowMs());
    }
    this.#end(call);
  }

  #end(call: Call): void {
    call.isEnded = true;
    for (const { cancel } of call.sent) cancel();
  }
}

const routeName = "lookup";

const disturbancePeriodMs = 100;
