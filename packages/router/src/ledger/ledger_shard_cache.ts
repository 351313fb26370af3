/** Cache of the owners and the number of ledger shards of each service. */
export class LedgerShardCache {
  readonly #owners = new Map<string, string>();
  readonly #shardCounts = new Map<string, number>();

  private constructor() {}

  /** Creates an empty cache. */
  static create(): LedgerShardCache {
    return new LedgerShardCache();
  }

  /** Gets the runner whose sidecar was last known to own a shard. */
  getOwner(service: string, shard: number): string | undefined {
    return this.#owners.get(`${service}.${shard}`);
  }

  /** Sets the runner whose sidecar owns a shard. */
  setOwner(service: string, shard: number, runner: string): void {
    this.#owners.set(`${service}.${shard}`, runner);
  }

  /** Gets the number of shards reported by sidecars, else the declared one. */
  getShardCount(service: string, declaredCount: number): number {
    return this.#shardCounts.get(service) ?? declaredCount;
  }

  /** Sets the number of shards that a sidecar reported, if it is valid. */
  setShardCount(service: string, count: number): void {
    if (Number.isSafeInteger(count) && count > 0) {
      this.#shardCounts.set(service, count);
    }
  }
}
