import { LRUCache } from "lru-cache";
import type { EventQueue } from "./event_queue.ts";
import { engineModel } from "./scenario.ts";
import type { Turn } from "./traffic.ts";

/** Callbacks for the progress of an answer. */
export type AnswerHandlers = {
  handleFirstToken: (nowMs: number) => void;
  handleEnd: (nowMs: number) => void;
  handleFailure: (nowMs: number) => void;
};

/** A turn with the number of its prompt tokens that are cached. */
export type EngineWork = { turn: Turn; cachedTokens: number };

/**
 * Cost model of an engine. Prompts are computed one after another and answers
 * are decoded in one batch. Prefixes are cached by chat and by system prompt;
 * the least recently used chats are evicted.
 */
export class SimulatedEngine {
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
  static create(events: EventQueue): SimulatedEngine {
    return new SimulatedEngine(events);
  }

  /** Number of requests whose answers have not ended. */
  get running(): number {
    return this.#running.size;
  }

  /** Chats in the cache with their tokens, the most recently used first. */
  get chats(): Iterable<[bigint, number]> {
    return this.#chats.entries();
  }

  /** Gets the number of prompt tokens of a turn that are cached. */
  getCachedTokens(turn: Turn): number {
    const chat = this.#chats.get(turn.key) ?? 0;
    const system = this.#systems.has(turn.workspace) ? turn.systemTokens : 0;
    return Math.min(turn.promptTokens - 1, Math.max(chat, system));
  }

  /** Caches an imported prefix if it is longer than the cached one. */
  importChat(key: bigint, tokens: number): void {
    if (tokens > (this.#chats.peek(key) ?? 0)) this.#chats.set(key, tokens);
  }

  /**
   * Reserves the link for a transfer and returns the time at which it ends. A
   * bulk transfer uses an open connection, so it adds no `transferStartMs`.
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

  /** Stops the engine immediately; the cache is lost and answers fail. */
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
