import { hash32, mix32 } from "../../hashing/mod.ts";
import { createSeededRandom, type RandomSource } from "../../random/mod.ts";
import { VirtualTimerService } from "../../timers/mod.ts";
import {
  chooseEngine,
  type EngineChoice,
  type PoolRunner,
  PrefixHolders,
  RunnerHealth,
  RunnerLoad,
} from "../mod.ts";
import type { PromptArrival } from "./load_arrivals.ts";

/** Which mechanisms take part in a replay. */
export type EnginePolicy = {
  /** Whether a home is left when its load is over the bound. */
  isBounded: boolean;
  /** Whether routers remember which engines hold a part. */
  remembersHolders: boolean;
  /** Whether a part is copied from an engine that holds it. */
  copies: boolean;
};

/** What is replayed. */
export type PromptReplayOptions = {
  prompts: readonly PromptArrival[];
  engines: number;
  policy: EnginePolicy;
  /** Times at each of which a new engine comes. */
  addedAtMs: readonly number[];
  /** Whether an old engine goes whenever a new one comes. */
  isReplaced: boolean;
};

/** What a replay has shown. */
export type PromptReplayResult = {
  /** Times to the first event. */
  firstEventMs: number[];
  /** Shared tokens read since the first new engine, or in all. */
  sharedTokensRead: number;
};

const routerCount = 4;
const readTokensPerMs = 110;
const eventMs = 8;
const engineSlots = 128;
const copyMs = 12;
const longEnoughMs = 120_000;

/** Reads prompts one after the other, and keeps what it has read. */
type Engine = {
  id: string;
  parts: Set<string>;
  /** When it can begin to read another prompt. */
  freeAtMs: number;
  /** Requests that it holds. */
  held: number;
};

type Router = { beliefs: Map<string, PoolRunner>; holders: PrefixHolders };

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
      beliefs: new Map(),
      holders: PrefixHolders.create({ maxParts: 1000 }),
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
    this.#timers.advance(longEnoughMs);
    return this.#result;
  }

  #add(id: string): void {
    this.#engines.set(id, { id, parts: new Set(), freeAtMs: 0, held: 0 });
    for (const { beliefs } of this.#routers) beliefs.set(id, createBelief(id));
  }

  #remove(id: string): void {
    this.#engines.delete(id);
    for (const { beliefs } of this.#routers) beliefs.delete(id);
  }

  #serve(prompt: PromptArrival): void {
    const router = this.#routers[this.#random.getInteger(routerCount)];
    const nowMs = this.#timers.nowMs();
    const holders = this.#options.policy.remembersHolders
      ? router.holders.getHolders(prompt.part, nowMs)
      : new Set<string>();
    const choice = this.#choose(router, prompt, holders);
    const engine = choice && this.#engines.get(choice.runner.id);
    if (choice === undefined || engine === undefined) return;
    router.holders.record(prompt.part, engine.id, nowMs);
    const isCopied = !engine.parts.has(prompt.part) &&
      this.#canCopy(prompt.part, { holders, otherHome: choice.otherHome?.id });
    this.#read(prompt, { engine, isCopied });
    this.#answer(prompt, { engine, load: choice.runner.load });
  }

  #choose(
    { beliefs }: Router,
    { part, sharedTokens }: PromptArrival,
    holders: ReadonlySet<string>,
  ): EngineChoice<PoolRunner> | undefined {
    const runners = [...beliefs.values()];
    if (!this.#options.policy.isBounded) return chooseHome(runners, part);
    const nowMs = this.#timers.nowMs();
    return chooseEngine(runners, {
      homeKey: part,
      sharedTokens,
      holders,
      nowMs,
    });
  }

  #canCopy(
    part: string,
    known: { holders: ReadonlySet<string>; otherHome: string | undefined },
  ): boolean {
    if (!this.#options.policy.copies) return false;
    return [...this.#engines.values()].some(({ id, parts }) =>
      parts.has(part) && (known.holders.has(id) || id === known.otherHome)
    );
  }

  #read(
    prompt: PromptArrival,
    { engine, isCopied }: { engine: Engine; isCopied: boolean },
  ): void {
    const nowMs = this.#timers.nowMs();
    const isCached = isCopied || engine.parts.has(prompt.part);
    const sharedTokens = isCached ? 0 : prompt.sharedTokens;
    if (nowMs >= (this.#options.addedAtMs[0] ?? 0)) {
      this.#result.sharedTokensRead += sharedTokens;
    }
    engine.parts.add(prompt.part);
    const startMs = Math.max(nowMs, engine.freeAtMs) + (isCopied ? copyMs : 0);
    engine.freeAtMs = startMs +
      (sharedTokens + prompt.ownTokens) / readTokensPerMs;
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

function createBelief(id: string): PoolRunner {
  return {
    id,
    failureDomain: "a",
    slots: engineSlots,
    load: RunnerLoad.create(),
    health: RunnerHealth.create(),
  };
}

/** Chooses the same home whatever the load, as a plain hash does. */
function chooseHome(
  runners: readonly PoolRunner[],
  part: string,
): EngineChoice<PoolRunner> {
  const weigh = ({ id }: PoolRunner) => mix32(hash32(part), hash32(id));
  const [runner, otherHome] = runners.toSorted((left, right) =>
    weigh(right) - weigh(left)
  );
  return { runner, isHolder: false, otherHome };
}
