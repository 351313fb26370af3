import { settingsSchema } from "@jasminetide/core/configuration";
import { MinuteMeter, PeakHold } from "@jasminetide/core/peak";
import type { EventQueue } from "./event_queue.ts";
import { engineModel } from "./scenario.ts";
import type { Turn } from "./traffic.ts";

/** Callbacks for the end of a held turn's wait. */
export type HeldTurnHandlers = {
  handleRelease: () => void;
  handleFailure: () => void;
};

const releasePeriodMs = 250;

/** Deferrable turns that one sidecar holds back in busy minutes. */
export class HeldTurns {
  readonly #events: EventQueue;
  readonly #hold: PeakHold;
  readonly #waiting = new Map<string, HeldTurnHandlers>();
  #count = 0;

  private constructor(events: EventQueue) {
    const { peak } = settingsSchema.parse({});
    this.#events = events;
    this.#hold = PeakHold.create({
      getSettings: () => peak,
      meter: MinuteMeter.create(),
    });
  }

  /** Creates a hold without turns. */
  static create(events: EventQueue): HeldTurns {
    const held = new HeldTurns(events);
    events.subscribe(releasePeriodMs, () => held.#release());
    return held;
  }

  /** Holds a turn until the current minute has capacity for it. */
  add(turn: Turn, handlers: HeldTurnHandlers): void {
    const id = String(this.#count++);
    this.#waiting.set(id, handlers);
    this.#hold.add({
      id,
      costTokens: getExpectedTokens(turn),
      arrivedAtMs: this.#events.nowMs,
      deadlineAtMs: turn.deadlineAtMs,
      durationMs: turn.expectedAnswerTokens * engineModel.stepMs * 2,
    });
    this.#release();
  }

  /**
   * Counts the tokens that a turn computed. The release of a held turn has
   * counted its estimate, so only the difference is added.
   */
  record(turn: Turn, computedTokens: number): void {
    const { isDeferrable } = turn;
    const countedTokens = isDeferrable ? getExpectedTokens(turn) : 0;
    this.#hold.meter.record(computedTokens - countedTokens, {
      atMs: this.#events.nowMs,
      isDeferrable,
    });
  }

  /** Fails all held turns, so that their routers send them elsewhere. */
  refuseAll(): void {
    for (const [id, handlers] of [...this.#waiting]) {
      this.#hold.remove(id);
      this.#waiting.delete(id);
      handlers.handleFailure();
    }
  }

  #release(): void {
    for (const { id } of this.#hold.release(this.#events.nowMs)) {
      const handlers = this.#waiting.get(id);
      this.#waiting.delete(id);
      handlers?.handleRelease();
    }
  }
}

/** Gets the number of tokens that a turn is expected to compute. */
function getExpectedTokens(turn: Turn): number {
  return turn.expectedAnswerTokens + turn.promptTokens - turn.systemTokens;
}
