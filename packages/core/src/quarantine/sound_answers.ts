import { LRUCache } from "lru-cache";
import { isRequestKey } from "./request_key.ts";

/** Times of the last whole answers to requests with a part, and to requests. */
export class SoundAnswers {
  readonly #parts = new LRUCache<string, number>({ max: maxParts });
  /** Apart from the parts, since most requests come once. */
  readonly #requests = new LRUCache<string, number>({ max: maxRequests });

  private constructor() {}

  /** Creates a record without answers. */
  static create(): SoundAnswers {
    return new SoundAnswers();
  }

  /** Gets the time of the last whole answer with a part; undefined if unknown. */
  getLastMs(partId: string): number | undefined {
    return this.#select(partId).peek(partId);
  }

  /** Records the time of a whole answer. */
  record(partId: string, atMs: number): void {
    this.#select(partId).set(partId, atMs);
  }

  #select(partId: string): LRUCache<string, number> {
    return isRequestKey(partId) ? this.#requests : this.#parts;
  }
}

/** Maximum parts whose last whole answer is known. */
const maxParts = 20_000;

/** The same for whole requests. */
const maxRequests = 5000;
