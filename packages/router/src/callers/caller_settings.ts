import {
  type Match,
  type RequestSettings,
  resolveRequest,
} from "@jasminetide/core/configuration";
import type { ConfigurationHolder } from "@jasminetide/runtime/configuration";
import { createKeyIndex, type KeyIndex } from "./authenticate.ts";

/** Number of cached subjects at which the cache is cleared. */
const maxCachedSubjects = 50_000;

/** Keys and effective settings of callers in the current configuration. */
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

  /** Creates settings that follow configuration changes until disposed. */
  static create(configuration: ConfigurationHolder): CallerSettings {
    return new CallerSettings(configuration);
  }

  /** Workspaces by hashed caller key. */
  get keyIndex(): KeyIndex {
    return this.#keyIndex;
  }

  /** Resolves the effective settings of a subject. */
  resolve(subject: Match): RequestSettings {
    const cacheKey = JSON.stringify(subject);
    const cached = this.#resolved.get(cacheKey);
    if (cached !== undefined) return cached;
    const resolved = resolveRequest(this.#configuration.get().body, subject);
    if (this.#resolved.size >= maxCachedSubjects) this.#resolved.clear();
    this.#resolved.set(cacheKey, resolved);
    return resolved;
  }

  [Symbol.dispose](): void {
    this.#subscription[Symbol.dispose]();
  }
}
