/** Runners by service and software version. */
export type VersionedRunner = { service: string; softwareVersion: string };

/** When a version left; infinite while runners of it are listed. */
type Versions = Map<string, { goneAtMs: number }>;

/**
 * Software versions of each service that may have begun a stream which its
 * caller still takes up: those that serve, and those that left not long ago.
 */
export class VersionHistory {
  readonly #services = new Map<string, Versions>();

  private constructor() {}

  /** Creates an empty history. */
  static create(): VersionHistory {
    return new VersionHistory();
  }

  /**
   * Records all listed runners; versions that are listed no more have left.
   *
   * @returns whether a version is listed that was not, or the reverse.
   */
  observe(runners: Iterable<VersionedRunner>, nowMs: number): boolean {
    const gone = new Set(this.#listPresent());
    let hasChanged = false;
    for (const { service, softwareVersion } of runners) {
      const entry = this.#getEntry(service, softwareVersion);
      gone.delete(entry);
      if (entry.goneAtMs === Infinity) continue;
      entry.goneAtMs = Infinity;
      hasChanged = true;
    }
    for (const entry of gone) entry.goneAtMs = nowMs;
    return hasChanged || gone.size > 0;
  }

  /** Adds a version that another router knew, unless it is known better. */
  add({ service, softwareVersion }: VersionedRunner, goneAtMs: number): void {
    const entry = this.#getEntry(service, softwareVersion);
    entry.goneAtMs = Math.max(entry.goneAtMs, goneAtMs);
  }

  /** Whether a version was ever listed or added. */
  has({ service, softwareVersion }: VersionedRunner): boolean {
    return this.#services.get(service)?.has(softwareVersion) === true;
  }

  /** Lists the versions that may have begun a stream of a service. */
  listCandidates(service: string, nowMs: number): string[] {
    const versions = this.#services.get(service) ?? new Map();
    return [...versions]
      .filter(([, { goneAtMs }]) => nowMs - goneAtMs < streamMemoryMs)
      .map(([version]) => version);
  }

  /** Lists the services of which something is known. */
  listServices(): string[] {
    return [...this.#services.keys()];
  }

  #listPresent() {
    return [...this.#services.values()]
      .flatMap((versions) => [...versions.values()])
      .filter(({ goneAtMs }) => goneAtMs === Infinity);
  }

  #getEntry(service: string, version: string): { goneAtMs: number } {
    let versions = this.#services.get(service);
    if (versions === undefined) {
      versions = new Map();
      this.#services.set(service, versions);
    }
    let entry = versions.get(version);
    if (entry === undefined) {
      entry = { goneAtMs: Number.NEGATIVE_INFINITY };
      versions.set(version, entry);
    }
    return entry;
  }
}

/** Longer than callers take streams up after they began. */
export const streamMemoryMs = 40_000;
