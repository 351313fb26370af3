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

/** What a router is made of. */
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

/** A turn on its way through one router. */
type Journey = {
  turn: Turn;
  tried: Set<RunnerId>;
  holder: RunnerId | undefined;
  refusals: number;
  redirects: number;
  hasFirstToken: boolean;
  /** Whether the hold of a turn that may wait has ended. */
  isReleased: boolean;
};

/** Refusals by the spill bound after which only the load cap refuses. */
const maxSpillRefusals = 4;

const maxRedirects = 1;

/** Wait after every runner has refused. */
const retryAfterMs = 250;

const maxRefusals = 24;

/** Time after which a connection to a stopped runner is given up. */
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

  /** Brings a turn to a runner, over and over until one admits it. */
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

  #try(journey: Journey): void {
    const { events, pool } = this.#options;
    const { nowMs } = events;
    const choice = choosePolicyRunner(this.#options.policy, {
      ...this.#options,
      turn: journey.turn,
      nowMs,
      tried: journey.tried,
      holder: journey.holder,
    });
    if (choice === undefined || journey.refusals >= maxRefusals) {
      this.#wait(journey);
      return;
    }
    const work: DispatchedWork = {
      runner: choice.runner,
      tokens: journey.turn.costTokens,
      sentAtMs: nowMs,
    };
    pool.begin(work);
    this.#options.findSidecar(work.runner)?.recordIncoming(work.tokens);
    events.schedule(nowMs + hopMs, () => {
      this.#deliver(journey, { work, source: choice.source });
    });
  }

  /** Tries again after a while when every runner has refused. */
  #wait(journey: Journey): void {
    const { collector, events } = this.#options;
    if (events.nowMs + retryAfterMs > journey.turn.deadlineAtMs) {
      collector.recordUnserved(events.nowMs);
      return;
    }
    collector.recordWait(events.nowMs);
    events.schedule(events.nowMs + retryAfterMs, () => {
      journey.tried.clear();
      journey.refusals = 0;
      this.#try(journey);
    });
  }

  #deliver(
    journey: Journey,
    options: { work: DispatchedWork; source: RunnerId | undefined },
  ): void {
    const { work } = options;
    const { events } = this.#options;
    const sidecar = this.#options.findSidecar(work.runner);
    sidecar?.recordIncoming(-work.tokens);
    if (sidecar === undefined || sidecar.state === "down") {
      events.schedule(events.nowMs + connectTimeoutMs, (nowMs) => {
        this.pool.remove(work.runner, { isLost: true, nowMs });
        this.#retry(journey, work);
      });
      return;
    }
    if (sidecar.canHold(journey.turn) && !journey.isReleased) {
      sidecar.held.add(journey.turn, {
        handleRelease: () => {
          journey.isReleased = true;
          this.#request(journey, { ...options, sidecar });
        },
        handleFailure: () => this.#retry(journey, work),
      });
    } else this.#request(journey, { ...options, sidecar });
  }

  /** Asks a sidecar to admit a turn. */
  #request(
    journey: Journey,
    options: {
      work: DispatchedWork;
      source: RunnerId | undefined;
      sidecar: SidecarNode;
    },
  ): void {
    const { sidecar, work } = options;
    const { events } = this.#options;
    const outcome = sidecar.admit({
      turn: journey.turn,
      canRedirect: journey.redirects < maxRedirects,
      isLastResort: journey.refusals >= maxSpillRefusals,
      isNamedHolder: journey.holder === work.runner,
      source: options.source,
    });
    if (outcome.type === "admitted") {
      this.#run(journey, { ...outcome, work, sidecar });
      return;
    }
    events.schedule(events.nowMs + hopMs, () => {
      this.#options.collector.recordRefusal(outcome.type, events.nowMs);
      this.#observe(sidecar);
      this.pool.complete(work);
      if (outcome.type === "redirected") journey.redirects += 1;
      else journey.refusals += 1;
      this.#handleRefusal(journey, { runner: work.runner, outcome });
    });
  }

  #handleRefusal(
    journey: Journey,
    refusal: {
      runner: RunnerId;
      outcome: { type: "refused" | "redirected"; holder?: RunnerId };
    },
  ): void {
    const { type, holder } = refusal.outcome;
    if (type === "refused") journey.tried.add(refusal.runner);
    journey.holder = holder;
    if (journey.refusals === maxSpillRefusals) journey.tried.clear();
    this.#try(journey);
  }

  #run(
    journey: Journey,
    admitted: {
      cachedTokens: number;
      delayMs: number;
      work: DispatchedWork;
      sidecar: SidecarNode;
    },
  ): void {
    const { collector, events } = this.#options;
    const { turn } = journey;
    const { sidecar, work } = admitted;
    collector.recordAdmission({ ...admitted, turn, nowMs: events.nowMs });
    events.schedule(events.nowMs + admitted.delayMs, (startMs) => {
      if (sidecar.state === "down") {
        this.#retry(journey, work);
        return;
      }
      collector.recordComputed(
        turn.promptTokens - admitted.cachedTokens,
        startMs,
      );
      sidecar.engine.run({ turn, cachedTokens: admitted.cachedTokens }, {
        handleFirstToken: (nowMs) => {
          if (!journey.hasFirstToken) collector.recordFirstToken(turn, nowMs);
          journey.hasFirstToken = true;
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
        handleFailure: () => this.#retry(journey, work),
      });
    });
  }

  #retry(journey: Journey, work: DispatchedWork): void {
    this.pool.complete(work);
    journey.refusals += 1;
    journey.holder = undefined;
    const { events } = this.#options;
    events.schedule(events.nowMs + hopMs, () => this.#try(journey));
  }

  /** Takes in the load record that each answer carries. */
  #observe(sidecar: SidecarNode): void {
    this.pool.observeLoad(sidecar.id, {
      loadTokens: sidecar.loadTokens,
      observedAtMs: this.#options.events.nowMs,
    });
  }
}
