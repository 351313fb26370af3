import type { Crash } from "./evidence.ts";

/** Limits on the crashes that a table keeps. */
export type CrashTableOptions = {
  /** Number of crashes; the one that was added first is dropped. */
  maxCrashes: number;
  /** Number of crashes of one process, which may take many requests along. */
  maxCrashesPerProcess: number;
};

/** Crashes by process and request, indexed by prompt part. */
export class CrashTable {
  readonly #options: CrashTableOptions;
  readonly #crashes = new Map<string, Crash>();
  readonly #keysByPart = new Map<string, Set<string>>();
  readonly #countsByProcess = new Map<string, number>();

  private constructor(options: CrashTableOptions) {
    this.#options = options;
  }

  /** Creates a table without crashes. */
  static create(options: CrashTableOptions): CrashTable {
    return new CrashTable(options);
  }

  /** All crashes, in the order in which they were added. */
  list(): Crash[] {
    return [...this.#crashes.values()];
  }

  /** Lists the crashes of requests with a part. */
  listByPart(partId: string): Crash[] {
    const crashes: Crash[] = [];
    for (const key of this.#keysByPart.get(partId) ?? []) {
      const crash = this.#crashes.get(key);
      if (crash !== undefined) crashes.push(crash);
    }
    return crashes;
  }

  /** Whether a crash of a request with a part is known. */
  hasPart(partId: string): boolean {
    return this.#keysByPart.has(partId);
  }

  /**
   * Adds a crash, or the earlier time and further parts of one that is known.
   *
   * @returns whether it is new.
   */
  add(crash: Crash): boolean {
    const key = formatKey(crash);
    const known = this.#crashes.get(key);
    if (known !== undefined) {
      this.#crashes.set(key, mergeCrashes(known, crash));
      this.#index(key, crash.partIds);
      return false;
    }
    const count = this.#countsByProcess.get(crash.process) ?? 0;
    if (count >= this.#options.maxCrashesPerProcess) return false;
    this.#countsByProcess.set(crash.process, count + 1);
    this.#crashes.set(key, crash);
    this.#index(key, crash.partIds);
    if (this.#crashes.size > this.#options.maxCrashes) this.#deleteFirst();
    return true;
  }

  /** Drops the crashes up to a time. */
  expire(untilMs: number): void {
    for (const [key, { atMs }] of this.#crashes) {
      if (atMs <= untilMs) this.#delete(key);
    }
  }

  #index(key: string, partIds: readonly string[]): void {
    for (const partId of partIds) {
      const keys = this.#keysByPart.get(partId);
      if (keys === undefined) this.#keysByPart.set(partId, new Set([key]));
      else keys.add(key);
    }
  }

  #deleteFirst(): void {
    const [first] = this.#crashes.keys();
    if (first !== undefined) this.#delete(first);
  }

  #delete(key: string): void {
    const crash = this.#crashes.get(key);
    if (crash === undefined) return;
    this.#crashes.delete(key);
    for (const partId of crash.partIds) {
      const keys = this.#keysByPart.get(partId);
      keys?.delete(key);
      if (keys?.size === 0) this.#keysByPart.delete(partId);
    }
    const left = (this.#countsByProcess.get(crash.process) ?? 0) - 1;
    if (left > 0) this.#countsByProcess.set(crash.process, left);
    else this.#countsByProcess.delete(crash.process);
  }
}

function formatKey({ process, request }: Crash): string {
  return JSON.stringify([process, request]);
}

function mergeCrashes(left: Crash, right: Crash): Crash {
  return {
    ...left,
    partIds: mergeIds(left.partIds, right.partIds),
    triedPartIds: mergeIds(left.triedPartIds ?? [], right.triedPartIds ?? []),
    atMs: Math.min(left.atMs, right.atMs),
  };
}

function mergeIds(left: readonly string[], right: readonly string[]): string[] {
  return [...new Set([...left, ...right])];
}
