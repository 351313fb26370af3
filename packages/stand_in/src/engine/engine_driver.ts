import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";
import type {
  BlockHash,
  EngineEvent,
  EngineModel,
  EngineRequest,
} from "./model/mod.ts";

/** Receives the events of one request. */
export type EngineSink = (event: EngineEvent) => void;

/** Advances an engine model by the timers of a timer service. */
export class EngineDriver {
  readonly model: EngineModel;
  readonly #timers: TimerService;
  readonly #sinks = new Map<string, EngineSink>();
  #timer: TimerSubscription | undefined;

  private constructor(model: EngineModel, timers: TimerService) {
    this.model = model;
    this.#timers = timers;
  }

  /** Creates a driver for an idle model. */
  static create(model: EngineModel, timers: TimerService): EngineDriver {
    return new EngineDriver(model, timers);
  }

  /**
   * Submits a request.
   *
   * @throws AppError `unknownModel` or `invalidRequest`; nothing has run.
   */
  start(request: EngineRequest, sink: EngineSink): void {
    this.model.submit(request, this.#timers.nowMs());
    this.#sinks.set(request.id, sink);
    this.#schedule();
  }

  /**
   * Cancels a request.
   *
   * @returns whether it was waiting or running.
   */
  cancel(id: string): boolean {
    this.#sinks.delete(id);
    const isCancelled = this.model.cancel(id, this.#timers.nowMs());
    this.#schedule();
    return isCancelled;
  }

  /** Imports blocks; resolves once they are in the cache. */
  importBlocks(blocks: readonly BlockHash[]): Promise<void> {
    const nowMs = this.#timers.nowMs();
    const doneAtMs = this.model.importBlocks(blocks, nowMs);
    this.#schedule();
    return new Promise((resolve) => {
      this.#timers.schedule(doneAtMs - nowMs, () => resolve());
    });
  }

  #schedule(): void {
    this.#timer?.[Symbol.dispose]();
    const dueMs = this.model.getNextDueMs();
    this.#timer = dueMs === undefined
      ? undefined
      : this.#timers.schedule(dueMs - this.#timers.nowMs(), () => {
        this.#advance();
      });
  }

  #advance(): void {
    for (const event of this.model.advance(this.#timers.nowMs())) {
      this.#sinks.get(event.id)?.(event);
      if (event.type === "finished") this.#sinks.delete(event.id);
    }
    this.#schedule();
  }
}
