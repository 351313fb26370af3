import type { Settings } from "@jasminetide/core/configuration";
import {
  chooseChatRunner,
  type DispatchedWork,
  type PoolView,
} from "@jasminetide/core/routing";
import type { RunnerId } from "@jasminetide/core/tables";
import type { TimerService } from "@jasminetide/core/timers";

/** A turn of a chat, and the view and settings used to choose its runners. */
export type ChatChoiceOptions = {
  /** 64-bit chat key. */
  key: bigint;
  costTokens: number;
  pool: PoolView;
  settings: Settings["load"];
  timers: TimerService;
};

/**
 * Chooses the runners for the attempts of one turn. The load of the current
 * attempt counts in the pool's view until the next runner is chosen or the
 * choice is disposed of.
 */
export class ChatChoice implements Disposable {
  readonly #options: ChatChoiceOptions;
  #work: DispatchedWork | undefined;
  #holder: RunnerId | undefined;

  private constructor(options: ChatChoiceOptions) {
    this.#options = options;
  }

  /** Creates the choice for a turn. */
  static create(options: ChatChoiceOptions): ChatChoice {
    return new ChatChoice(options);
  }

  /** Chooses the runner for the next attempt and adds it to its load. */
  choose(tried: ReadonlySet<string>): string | undefined {
    const { costTokens, key, pool, settings, timers } = this.#options;
    this.#complete();
    const nowMs = timers.nowMs();
    const { spillMultiple, minimumTokens } = settings;
    const choice = chooseChatRunner(
      { key, costTokens, holder: this.#holder, tried },
      pool,
      { nowMs, spillMultiple, minimumTokens },
    );
    if (choice === undefined) return undefined;
    const runner = choice.runner.id;
    this.#work = { runner, tokens: costTokens, sentAtMs: nowMs };
    pool.begin(this.#work);
    return runner;
  }

  /** Sets the holder of the chat, as reported by the chat's home. */
  setHolder(holder: RunnerId): void {
    this.#holder = holder;
  }

  /** Records that the turn has ended. */
  [Symbol.dispose](): void {
    this.#complete();
  }

  #complete(): void {
    if (this.#work !== undefined) this.#options.pool.complete(this.#work);
    this.#work = undefined;
  }
}
