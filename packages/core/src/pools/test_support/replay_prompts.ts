import { hash32, mix32 } from "../../hashing/mod.ts";
import { createSeededRandom, type RandomSource } from "../../random/mod.ts";
import { VirtualTimerService } from "../../timers/mod.ts";
import {
  chooseCopySource,
  chooseEngine,
  type EngineChoice,
  type PoolRunner,
  PrefixHolders,
  RunnerHealth,
  RunnerLoad,
} from "../mod.ts";
import type { PromptArrival } from "./load_arrivals.ts";

/** Mechanisms that are enabled in a replay. */
export type EnginePolicy = {
  /** Whether requests leave a home whose load exceeds the bound. */
  isBounded: boolean;
  /** Whether routers track which engines hold a prefix. */
  tracksHolders: boolean;
  /** Whether a prefix is copied from an engine that holds it. */
  copiesPrefixes: boolean;
};

/** Prompts, engines and mechanisms of a replay. */
export type PromptReplayOptions = {
  prompts: readonly PromptArrival[];
  engines: number;
  policy: EnginePolicy;
  /** Times at each of which an engine is added. */
  addedAtMs: readonly number[];
  /** Whether an old engine is removed whenever one is added. */
  isReplaced: boolean;
};

/** Results of a replay. */
export type PromptReplayResult = {
  /** Times from arrivals to their first events. */
  firstEventMs: number[];
  /** Shared tokens computed since the first engine was added, or in all. */
  sharedTokensRead: number;
};

const routerCount = 4;
const prefillTokensPerMs = 110;
/** Time between two events of an answer. */
const eventMs = 8;
const engineSlots = 128;
/** Time to copy a prefix from another engine. */
const copyMs = 12;
/** Virtual time by which all replayed requests have ended. */
const replayDurationMs = 120_000;

/** A model of an engine that computes prompts in turn and caches prefixes. */
type Engine = {
  id: string;
  /** Identifiers of the cached prefixes. */
  prefixIds: Set<string>;
  /** Time from which it can compute another prompt. */
  freeAtMs: number;
  /** Requests that it has not answered in full. */
  held: number;
};

/** A router's view of the engines. */
type Router = { runners: Map<string, PoolRunner>; holders: PrefixHolders };

/** Replays requests with prompts at engines, in virtual time. */
export class PromptReplay {
  readonly #options: PromptReplayOptions;
  readonly #timers = VirtualTimerService.create();
  readonly #random: RandomSource = createSeededRandom(5);
  readonly #engines = new Map<string, Engine>();
  readonly #routers: Router[];
  readonly #result: PromptReplayResult = {
    firstEventMs: [],
    sharedTokensRead: 0,
  };

  private constructor(options: PromptReplayOptions) {
    this.#options = options;
    this.#routers = Array.from({ length: routerCount }, () => ({
      runners: new Map(),
      holders: PrefixHolders.create({ maxPrefixes: 1000 }),
    }));
  }

  /** Runs a replay to its end. */
  static run(options: PromptReplayOptions): PromptReplayResult {
    const replay = new PromptReplay(options);
    return replay.#run();
  }

  #run(): PromptReplayResult {
    const { addedAtMs, engines, isReplaced, prompts } = this.#options;
    for (let index = 0; index < engines; index++) this.#add(`old-${index}`);
    addedAtMs.forEach((atMs, index) =>
      this.#timers.schedule(atMs, () => {
        if (isReplaced) this.#remove(`old-${index}`);
        this.#add(`new-${index}`);
      })
    );
    for (const prompt of prompts) {
      this.#timers.schedule(prompt.atMs, () => this.#serve(prompt));
    }
    this.#timers.advance(replayDurationMs);
    return this.#result;
  }

  #add(id: string): void {
    this.#engines.set(id, { id, prefixIds: new Set(), freeAtMs: 0, held: 0 });
    for (const { runners } of this.#routers) {
      runners.set(id, createPoolRunner(id, this.#timers.nowMs()));
    }
  }

  #remove(id: string): void {
    this.#engines.delete(id);
    for (const { runners } of this.#routers) runners.delete(id);
  }

  #serve(prompt: PromptArrival): void {
    const router = this.#routers[this.#random.getInteger(routerCount)];
    const nowMs = this.#timers.nowMs();
    const holders = this.#options.policy.tracksHolders
      ? router.holders.getHolders(prompt.prefixId, nowMs)
      : new Set<string>();
    const choice = this.#choose(router, prompt, holders);
    const engine = choice && this.#engines.get(choice.runner.id);
    if (choice === undefined || engine === undefined) return;
    router.holders.record(prompt.prefixId, engine.id, nowMs);
    const isCopied = !engine.prefixIds.has(prompt.prefixId) &&
      this.#canCopy(prompt.prefixId, {
        holders,
        sourceId: this.#chooseSource(router, prompt, choice),
      });
    this.#compute(prompt, { engine, isCopied });
    this.#answer(prompt, { engine, load: choice.runner.load });
  }

  #choose(
    { runners }: Router,
    { prefixId, sharedTokens }: PromptArrival,
    holders: ReadonlySet<string>,
  ): EngineChoice<PoolRunner> | undefined {
    const candidates = [...runners.values()];
    if (!this.#options.policy.isBounded) {
      return chooseHome(candidates, prefixId);
    }
    const nowMs = this.#timers.nowMs();
    return chooseEngine(candidates, {
      prefixId,
      sharedTokens,
      holders,
      nowMs,
      mayQueue: true,
    });
  }

  #chooseSource(
    { runners }: Router,
    { prefixId }: PromptArrival,
    choice: EngineChoice<PoolRunner>,
  ): string | undefined {
    const source = chooseCopySource([...runners.values()], {
      nowMs: this.#timers.nowMs(),
      prefixId,
      copierId: choice.runner.id,
    });
    return source?.id;
  }

  #canCopy(
    prefixId: string,
    sources: { holders: ReadonlySet<string>; sourceId: string | undefined },
  ): boolean {
    if (!this.#options.policy.copiesPrefixes) return false;
    return [...this.#engines.values()].some((engine) =>
      engine.prefixIds.has(prefixId) &&
      (sources.holders.has(engine.id) || engine.id === sources.sourceId)
    );
  }

  #compute(
    prompt: PromptArrival,
    { engine, isCopied }: { engine: Engine; isCopied: boolean },
  ): void {
    const nowMs = this.#timers.nowMs();
    const isCached = isCopied || engine.prefixIds.has(prompt.prefixId);
    const sharedTokens = isCached ? 0 : prompt.sharedTokens;
    if (nowMs >= (this.#options.addedAtMs[0] ?? 0)) {
      this.#result.sharedTokensRead += sharedTokens;
    }
    engine.prefixIds.add(prompt.prefixId);
    const startMs = Math.max(nowMs, engine.freeAtMs) + (isCopied ? copyMs : 0);
    engine.freeAtMs = startMs +
      (sharedTokens + prompt.ownTokens) / prefillTokensPerMs;
  }

  #answer(
    prompt: PromptArrival,
    { engine, load }: { engine: Engine; load: RunnerLoad },
  ): void {
    const firstMs = engine.freeAtMs - this.#timers.nowMs();
    const report = () =>
      load.observe(
        { running: engine.held, waiting: 0, slots: engineSlots },
        this.#timers.nowMs(),
      );
    engine.held += 1;
    load.ownOutstanding += 1;
    this.#timers.schedule(firstMs, () => {
      this.#result.firstEventMs.push(firstMs);
      report();
    });
    this.#timers.schedule(firstMs + prompt.events * eventMs, () => {
      engine.held -= 1;
      load.ownOutstanding -= 1;
      report();
    });
  }
}

function createPoolRunner(id: string, listedAtMs: number): PoolRunner {
  return {
    id,
    idHash: hash32(id),
    listedAtMs,
    failureDomain: "a",
    slots: engineSlots,
    load: RunnerLoad.create(),
    health: RunnerHealth.create(),
  };
}

/** Chooses the home by rendezvous hash alone, regardless of load. */
function chooseHome(
  runners: readonly PoolRunner[],
  prefixId: string,
): EngineChoice<PoolRunner> {
  const key = hash32(prefixId);
  const weigh = ({ idHash }: PoolRunner) => mix32(key, idHash);
  const [runner] = runners.toSorted((left, right) =>
    weigh(right) - weigh(left)
  );
  return { runner, isHolder: false };
}
