import { LRUCache } from "lru-cache";
import type { EventQueue } from "./event_queue.ts";
import { engineModel } from "./scenario.ts";
import type { Turn } from "./traffic.ts";

/** Called as an answer proceeds. */
export type AnswerHandlers = {
  handleFirstToken: (nowMs: number) => void;
  handleEnd: (nowMs: number) => void;
  handleFailure: (nowMs: number) => void;
};

/** A turn with the tokens that the engine need not compute. */
export type EngineWork = { turn: Turn; cachedTokens: number };

/**
 * Cost model of an engine: prompts are computed one after the other, answers
 * are decoded in one batch, prefixes are cached by chat and system prompt and
 * the least recently used are evicted.
 */
export class EngineFake {
  readonly #events: EventQueue;
  #chats = createCache();
  #systems = new Set<number>();
  #running = new Map<object, AnswerHandlers>();
  #prefillFreeMs = 0;
  #linkFreeMs = 0;

  private constructor(events: EventQueue) {
    this.#events = events;
  }

  /** Creates an idle engine with an empty cache. */
  static create(events: EventQueue): EngineFake {
    return new EngineFake(events);
  }

  /** Requests whose answers have not ended. */
  get running(): number {
    return this.#running.size;
  }

  /** Chats in the cache, the most recently used first. */
  get chats(): Iterable<[bigint, number]> {
    return this.#chats.entries();
  }

  /** Gets the prompt tokens of a turn that are cached. */
  getCachedTokens(turn: Turn): number {
    const chat = this.#chats.get(turn.key) ?? 0;
    const system = this.#systems.has(turn.workspace) ? turn.systemTokens : 0;
    return Math.min(turn.promptTokens - 1, Math.max(chat, system));
  }

  /** Puts an imported prefix into the cache. */
  importChat(key: bigint, tokens: number): void {
    if (tokens > (this.#chats.peek(key) ?? 0)) this.#chats.set(key, tokens);
  }

  /**
   * Takes the link for a transfer and gets the time at which it ends. A bulk
   * transfer goes over a connection that stays open.
   */
  beginTransfer(
    tokens: number,
    options: { nowMs: number; isBulk?: boolean },
  ): number {
    const startMs = Math.max(options.nowMs, this.#linkFreeMs) +
      (options.isBulk === true ? 0 : engineModel.transferStartMs);
    this.#linkFreeMs = startMs +
      1000 * tokens / engineModel.transferTokensPerSecond;
    return this.#linkFreeMs;
  }

  /** Runs a turn. */
  run(work: EngineWork, handlers: AnswerHandlers): void {
    const { turn } = work;
    const nowMs = this.#events.nowMs;
    const id = {};
    this.#running.set(id, handlers);
    const computedTokens = turn.promptTokens - work.cachedTokens;
    this.#prefillFreeMs = Math.max(nowMs, this.#prefillFreeMs) +
      1000 * computedTokens / engineModel.prefillTokensPerSecond;
    const firstMs = this.#prefillFreeMs + this.#getStepMs();
    this.#events.schedule(firstMs, (atMs) => {
      if (!this.#running.has(id)) return;
      this.#systems.add(turn.workspace);
      handlers.handleFirstToken(atMs);
      const endMs = atMs + turn.answerTokens * this.#getStepMs();
      this.#events.schedule(endMs, (atMs) => {
        if (!this.#running.delete(id)) return;
        this.#chats.set(turn.key, turn.promptTokens + turn.answerTokens);
        handlers.handleEnd(atMs);
      });
    });
  }

  /** Ends the engine at once; answers in flight fail. */
  fail(nowMs: number): void {
    const running = [...this.#running.values()];
    this.#running = new Map();
    this.#chats = createCache();
    this.#systems = new Set();
    this.#prefillFreeMs = 0;
    this.#linkFreeMs = 0;
    for (const handlers of running) handlers.handleFailure(nowMs);
  }

  #getStepMs(): number {
    return engineModel.stepMs +
      engineModel.stepMsPerRequest * this.#running.size;
  }
}

function createCache(): LRUCache<bigint, number> {
  return new LRUCache<bigint, number>({
    maxSize: engineModel.cacheTokens,
    sizeCalculation: (tokens) => tokens,
  });
}
