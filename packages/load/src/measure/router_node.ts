import type { RandomSource } from "@jasminetide/core/random";
import type { DispatchedWork, PoolView } from "@jasminetide/core/routing";
import type { RunnerId } from "@jasminetide/core/tables";
import type { Collector } from "./collector.ts";
import type { EventQueue } from "./event_queue.ts";
import {
  choosePolicyRunner,
  type Mechanisms,
  type Oracle,
  type PolicyName,
} from "./policies.ts";
import { hopMs } from "./scenario.ts";
import type { SidecarNode } from "./sidecar_node.ts";
import type { Turn } from "./traffic.ts";

/** Dependencies of a router. */
export type RouterNodeOptions = {
  index: number;
  policy: PolicyName;
  mechanisms: Mechanisms;
  pool: PoolView;
  events: EventQueue;
  random: RandomSource;
  collector: Collector;
  oracle: Oracle;
  findSidecar: (id: RunnerId) => SidecarNode | undefined;
};

/** State of a turn in one router. */
type TurnProgress = {
  turn: Turn;
  /** Runners that have refused the turn. */
  tried: Set<RunnerId>;
  holder: RunnerId | undefined;
  refusals: number;
  redirects: number;
  hasFirstToken: boolean;
  /** Whether a held-back turn has been released. */
  isReleased: boolean;
};

/** Refusals by the spill bound after which only the load cap refuses. */
const maxSpillRefusals = 4;

const maxRedirects = 1;

/** Time until the next attempt after every runner has refused. */
const retryAfterMs = 250;

const maxRefusals = 24;

/** Timeout of a connection to a stopped runner. */
const connectTimeoutMs = 50;

/** One router with its own view of the pool. */
export class RouterNode {
  readonly #options: RouterNodeOptions;

  private constructor(options: RouterNodeOptions) {
    this.#options = options;
  }

  /** Creates a router. */
  static create(options: RouterNodeOptions): RouterNode {
    return new RouterNode(options);
  }

  get pool(): PoolView {
    return this.#options.pool;
  }

  /** Sends a turn to runners until one admits it or its deadline is near. */
  accept(turn: Turn): void {
    this.#try({
      turn,
      tried: new Set(),
      holder: undefined,
      refusals: 0,
      redirects: 0,
      hasFirstToken: false,
      isReleased: false,
    });
  }

  #try(progress: TurnProgress): void {
    const { events, pool } = this.#options;
    const { nowMs } = events;
    const choice = choosePolicyRunner(this.#options.policy, {
      ...this.#options,
      turn: progress.turn,
      nowMs,
      tried: progress.tried,
      holder: progress.holder,
    });
    if (choice === undefined || progress.refusals >= maxRefusals) {
      this.#wait(progress);
      return;
    }
    const work: DispatchedWork = {
      runner: choice.runner,
      tokens: progress.turn.costTokens,
      sentAtMs: nowMs,
    };
    pool.begin(work);
    this.#options.findSidecar(work.runner)?.recordIncoming(work.tokens);
    events.schedule(nowMs + hopMs, () => {
      this.#deliver(progress, { work, source: choice.source });
    });
  }

  /** Retries after `retryAfterMs`, unless the deadline is earlier. */
  #wait(progress: TurnProgress): void {
    const { collector, events } = this.#options;
    if (events.nowMs + retryAfterMs > progress.turn.deadlineAtMs) {
      collector.recordUnserved(events.nowMs);
      return;
    }
    collector.recordWait(events.nowMs);
    events.schedule(events.nowMs + retryAfterMs, () => {
      progress.tried.clear();
      progress.refusals = 0;
      this.#try(progress);
    });
  }

  #deliver(
    progress: TurnProgress,
    options: { work: DispatchedWork; source: RunnerId | undefined },
  ): void {
    const { work } = options;
    const { events } = this.#options;
    const sidecar = this.#options.findSidecar(work.runner);
    sidecar?.recordIncoming(-work.tokens);
    if (sidecar === undefined || sidecar.state === "down") {
      events.schedule(events.nowMs + connectTimeoutMs, (nowMs) => {
        this.pool.remove(work.runner, { isLost: true, nowMs });
        this.#retry(progress, work);
      });
      return;
    }
    if (sidecar.canHold(progress.turn) && !progress.isReleased) {
      sidecar.held.add(progress.turn, {
        handleRelease: () => {
          progress.isReleased = true;
          this.#request(progress, { ...options, sidecar });
        },
        handleFailure: () => this.#retry(progress, work),
      });
    } else this.#request(progress, { ...options, sidecar });
  }

  /** Requests the admission of a turn from a sidecar. */
  #request(
    progress: TurnProgress,
    options: {
      work: DispatchedWork;
      source: RunnerId | undefined;
      sidecar: SidecarNode;
    },
  ): void {
    const { sidecar, work } = options;
    const { events } = this.#options;
    const outcome = sidecar.admit({
      turn: progress.turn,
      canRedirect: progress.redirects < maxRedirects,
      isLastResort: progress.refusals >= maxSpillRefusals,
      isNamedHolder: progress.holder === work.runner,
      source: options.source,
    });
    if (outcome.type === "admitted") {
      this.#run(progress, { ...outcome, work, sidecar });
      return;
    }
    events.schedule(events.nowMs + hopMs, () => {
      this.#options.collector.recordRefusal(outcome.type, events.nowMs);
      this.#observe(sidecar);
      this.pool.complete(work);
      if (outcome.type === "redirected") progress.redirects += 1;
      else progress.refusals += 1;
      this.#handleRefusal(progress, { runner: work.runner, outcome });
    });
  }

  #handleRefusal(
    progress: TurnProgress,
    refusal: {
      runner: RunnerId;
      outcome: { type: "refused" | "redirected"; holder?: RunnerId };
    },
  ): void {
    const { type, holder } = refusal.outcome;
    if (type === "refused") progress.tried.add(refusal.runner);
    progress.holder = holder;
    if (progress.refusals === maxSpillRefusals) progress.tried.clear();
    this.#try(progress);
  }

  #run(
    progress: TurnProgress,
    admitted: {
      cachedTokens: number;
      delayMs: number;
      work: DispatchedWork;
      sidecar: SidecarNode;
    },
  ): void {
    const { collector, events } = this.#options;
    const { turn } = progress;
    const { sidecar, work } = admitted;
    collector.recordAdmission({ ...admitted, turn, nowMs: events.nowMs });
    events.schedule(events.nowMs + admitted.delayMs, (startMs) => {
      if (sidecar.state === "down") {
        this.#retry(progress, work);
        return;
      }
      collector.recordComputed(
        turn.promptTokens - admitted.cachedTokens,
        startMs,
      );
      sidecar.engine.run({ turn, cachedTokens: admitted.cachedTokens }, {
        handleFirstToken: (nowMs) => {
          if (!progress.hasFirstToken) collector.recordFirstToken(turn, nowMs);
          progress.hasFirstToken = true;
          this.#observe(sidecar);
        },
        handleEnd: (nowMs) => {
          collector.recordComputed(turn.answerTokens, nowMs);
          collector.recordEnd(turn, nowMs);
          sidecar.held.record(
            turn,
            turn.promptTokens - admitted.cachedTokens + turn.answerTokens,
          );
          sidecar.release(turn);
          this.pool.complete(work);
          this.#observe(sidecar);
        },
        handleFailure: () => this.#retry(progress, work),
      });
    });
  }

  #retry(progress: TurnProgress, work: DispatchedWork): void {
    this.pool.complete(work);
    progress.refusals += 1;
    progress.holder = undefined;
    const { events } = this.#options;
    events.schedule(events.nowMs + hopMs, () => this.#try(progress));
  }

  /** Applies the load record of an answer. */
  #observe(sidecar: SidecarNode): void {
    this.pool.observeLoad(sidecar.id, {
      loadTokens: sidecar.loadTokens,
      observedAtMs: this.#options.events.nowMs,
    });
  }
}
