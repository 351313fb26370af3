import { hash32, type KnownRouters } from "../../hashing/mod.ts";
import { createSeededRandom, type RandomSource } from "../../random/mod.ts";
import { type TimerService, VirtualTimerService } from "../../timers/mod.ts";
import {
  type Crash,
  CrashQuarantine,
  type Evidence,
  QuarantineTrials,
} from "../mod.ts";
import type { CrashArrival } from "./crash_arrivals.ts";

/** Options of a replay. */
export type CrashReplayOptions = {
  arrivals: readonly CrashArrival[];
  gatewayCount: number;
  runnerCount: number;
  seed: number;
  /** Whether quarantined parts are refused. */
  isOn: boolean;
  /** Part that crashes each runner that begins to answer it. */
  crashingPart: string;
  /** Times at which runners crash for another reason. */
  otherCrashesAtMs: readonly number[];
  /** Number of runners that crash at each of these times. */
  crashesAtOnce: number;
};

/** Results of a replay. */
export type CrashReplayResult = {
  /** Times at which requests with the crashing part were sent to runners. */
  crashingSentAtMs: number[];
  /** Times at which they crashed runners. */
  crashedAtMs: number[];
  /** Times at which sound requests were refused as quarantined. */
  soundRefusedAtMs: number[];
  soundAnswered: number;
};

type Request = CrashArrival & {
  id: string;
  gateway: Gateway;
  runs: number;
  triedPartIds?: readonly string[];
};

type Run = { request: Request; begunAtMs: number | undefined };

type Runner = { process: string; runs: Set<Run> };

type Gateway = {
  quarantine: CrashQuarantine;
  trials: QuarantineTrials;
  routers: KnownRouters;
};

/** Replays arrivals in virtual time on models of gateways and runners. */
export class CrashReplay {
  readonly #options: CrashReplayOptions;
  readonly #timers = VirtualTimerService.create();
  readonly #random: RandomSource;
  readonly #gateways: Gateway[];
  readonly #runners: Runner[] = [];
  readonly #result: CrashReplayResult = {
    crashingSentAtMs: [],
    crashedAtMs: [],
    soundRefusedAtMs: [],
    soundAnswered: 0,
  };
  #processes = 0;

  private constructor(options: CrashReplayOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    const hashes = Array.from(
      { length: options.gatewayCount },
      (_, index) => hash32(`gateway-${index}`),
    );
    this.#gateways = hashes.map((selfHash, index) => ({
      quarantine: CrashQuarantine.create({ quarantineMs: 300_000 }),
      trials: QuarantineTrials.create(),
      routers: { selfHash, otherHashes: hashes.toSpliced(index, 1) },
    }));
    for (let index = 0; index < options.runnerCount; index++) this.#addRunner();
  }

  /** Replays all arrivals. */
  static run(options: CrashReplayOptions): CrashReplayResult {
    const replay = new CrashReplay(options);
    const { arrivals, crashesAtOnce, otherCrashesAtMs } = options;
    const timers: TimerService = replay.#timers;
    for (const [index, arrival] of arrivals.entries()) {
      timers.schedule(
        arrival.atMs,
        () => replay.#handleArrival(index, arrival),
      );
    }
    for (const atMs of otherCrashesAtMs) {
      timers.schedule(atMs, () => {
        const crashed = replay.#runners.slice(0, crashesAtOnce);
        for (const runner of crashed) replay.#endProcess(runner);
      });
    }
    const lastMs = arrivals.at(-1)?.atMs ?? 0;
    replay.#timers.advance(lastMs + 10_000);
    return replay.#result;
  }

  #addRunner(): void {
    this.#processes += 1;
    this.#runners.push({ process: `p${this.#processes}`, runs: new Set() });
  }

  #handleArrival(index: number, arrival: CrashArrival): void {
    const gateway =
      this.#gateways[this.#random.getInteger(this.#gateways.length)];
    this.#send({ ...arrival, id: `q${index}`, gateway, runs: 0 });
  }

  #send(request: Request): void {
    const { isOn } = this.#options;
    const nowMs = this.#timers.nowMs();
    const { gateway, partIds } = request;
    const found = isOn ? gateway.quarantine.find(partIds, nowMs) : undefined;
    const isCrashing = this.#isCrashing(request);
    if (found !== undefined && !this.#tryTrial(request)) {
      if (!isCrashing) this.#result.soundRefusedAtMs.push(nowMs);
      return;
    }
    const runner = this.#runners[this.#random.getInteger(this.#runners.length)];
    if (runner === undefined || request.runs >= maxRuns) return;
    request.runs += 1;
    if (isCrashing) this.#result.crashingSentAtMs.push(nowMs);
    const run: Run = { request, begunAtMs: undefined };
    runner.runs.add(run);
    this.#timers.schedule(beginMs, () => this.#begin(run, runner));
  }

  /** Sends a first request with quarantined parts on trial, if one is due. */
  #tryTrial(request: Request): boolean {
    const { gateway, partIds, runs } = request;
    const { quarantine, routers, trials } = gateway;
    const nowMs = this.#timers.nowMs();
    const trial = quarantine.findTrial(partIds, nowMs);
    const hasRunner = this.#runners.length > 0;
    if (trial === undefined || runs > 0 || !hasRunner) return false;
    if (!trials.isDue(trial, { nowMs, routers })) return false;
    trials.recordSend(trial, nowMs);
    request.triedPartIds = trial.partIds;
    return true;
  }

  #begin(run: Run, runner: Runner): void {
    if (!runner.runs.has(run)) return;
    run.begunAtMs = this.#timers.nowMs();
    const isCrashing = this.#isCrashing(run.request);
    const delayMs = isCrashing
      ? minCrashMs + this.#random.getInteger(extraCrashMs)
      : run.request.durationMs;
    this.#timers.schedule(delayMs, () => {
      if (!runner.runs.has(run)) return;
      if (isCrashing) {
        this.#result.crashedAtMs.push(this.#timers.nowMs());
        this.#endProcess(runner);
      } else this.#complete(run, runner);
    });
  }

  #complete(run: Run, runner: Runner): void {
    const { gateway, partIds } = run.request;
    runner.runs.delete(run);
    this.#result.soundAnswered += 1;
    const nowMs = this.#timers.nowMs();
    const cleared = gateway.quarantine.recordAnswer(partIds, nowMs);
    if (cleared.length > 0) this.#sendEvidence(gateway, [], cleared);
  }

  #endProcess(runner: Runner): void {
    const runs = [...runner.runs];
    runner.runs.clear();
    this.#runners.splice(this.#runners.indexOf(runner), 1);
    this.#timers.schedule(restartMs, () => this.#addRunner());
    const nowMs = this.#timers.nowMs();
    for (const { begunAtMs, request } of runs) {
      const isEarly = begunAtMs !== undefined && nowMs - begunAtMs <= 2000;
      if (isEarly) this.#recordCrash(runner, request);
      this.#send(request);
    }
  }

  #recordCrash({ process }: Runner, request: Request): void {
    const { gateway, id, partIds, triedPartIds } = request;
    const atMs = this.#timers.nowMs();
    const suspects = gateway.quarantine.listSuspects(partIds, atMs);
    if (suspects.length === 0) return;
    const crash = {
      process,
      request: id,
      partIds: suspects,
      triedPartIds,
      atMs,
    };
    gateway.quarantine.recordCrash(crash, atMs);
    this.#sendEvidence(gateway, [crash], suspects);
  }

  /** Sends evidence to the other gateways and merges what they answer. */
  #sendEvidence(sender: Gateway, crashes: Crash[], partIds: string[]): void {
    const evidence = sender.quarantine.selectEvidence(
      { crashes, partIds },
      this.#timers.nowMs(),
    );
    for (const receiver of this.#gateways) {
      if (receiver === sender) continue;
      this.#timers.schedule(linkMs, () => {
        const nowMs = this.#timers.nowMs();
        receiver.quarantine.merge(evidence, nowMs);
        const answer = receiver.quarantine.selectEvidence(
          { crashes: [], partIds },
          nowMs,
        );
        this.#timers.schedule(linkMs, () => this.#mergeAnswer(sender, answer));
      });
    }
  }

  #mergeAnswer(gateway: Gateway, answer: Evidence): void {
    const news = gateway.quarantine.merge(answer, this.#timers.nowMs());
    const { clearedParts } = news;
    if (clearedParts.length > 0) this.#sendEvidence(gateway, [], clearedParts);
  }

  #isCrashing({ partIds }: CrashArrival): boolean {
    return partIds.includes(this.#options.crashingPart);
  }
}

/** Runs of one request at most. */
const maxRuns = 2;

/** Time from sending a request to the beginning of its answer. */
const beginMs = 100;

/** Shortest time from the beginning of an answer to the crash. */
const minCrashMs = 60;

/** Time by which it may be longer. */
const extraCrashMs = 60;

/** Time after which a new process replaces a runner. */
const restartMs = 4000;

/** Time of a message between two gateways. */
const linkMs = 5;
