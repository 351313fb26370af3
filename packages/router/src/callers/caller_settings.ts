import {
  type Match,
  type RequestSettings,
  resolveRequest,
} from "@jasminetide/core/configuration";
import type { ConfigurationHolder } from "@jasminetide/runtime/configuration";
import { createKeyIndex, type KeyIndex } from "./authenticate.ts";

/** Settings of requests that are kept before the cache is emptied. */
const maxResolvedSubjects = 50_000;

/** Keys and effective settings of callers, by the configuration in force. */
export class CallerSettings {
  readonly #configuration: ConfigurationHolder;
  readonly #resolved = new Map<string, RequestSettings>();
  readonly #subscription: Disposable;
  #keyIndex: KeyIndex = new Map();

  private constructor(configuration: ConfigurationHolder) {
    this.#configuration = configuration;
    this.#subscription = configuration.subscribe(({ body }) => {
      this.#keyIndex = createKeyIndex(body);
      this.#resolved.clear();
    });
  }

  /** Creates settings that follow the configuration until disposed. */
  static create(configuration: ConfigurationHolder): CallerSettings {
    return new CallerSettings(configuration);
  }

  /** Hashed caller keys with the workspace of each. */
  get keyIndex(): KeyIndex {
    return this.#keyIndex;
  }

  /** Resolves the settings in force for a subject. */
  resolve(subject: Match): RequestSettings {
    const cacheKey = JSON.stringify(subject);
    const cached = this.#resolved.get(cacheKey);
    if (cached !== undefined) return cached;
    const resolved = resolveRequest(this.#configuration.get().body, subject);
    if (this.#resolved.size >= maxResolvedSubjects) this.#resolved.clear();
    this.#resolved.set(cacheKey, resolved);
    return resolved;
  }

  [Symbol.dispose](): void {
    this.#subscription[Symbol.dispose]();
  }
}
