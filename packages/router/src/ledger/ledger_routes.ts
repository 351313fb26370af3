/** What a router remembers of the shards and their owners. */
export class LedgerRoutes {
  readonly #owners = new Map<string, string>();
  readonly #shardCounts = new Map<string, number>();

  private constructor() {}

  /** Creates routes that know nothing. */
  static create(): LedgerRoutes {
    return new LedgerRoutes();
  }

  /** Gets the runner whose sidecar last was the owner. */
  getOwner(service: string, shard: number): string | undefined {
    return this.#owners.get(`${service}.${shard}`);
  }

  /** Sets the runner whose sidecar is the owner. */
  setOwner(service: string, shard: number, runner: string): void {
    this.#owners.set(`${service}.${shard}`, runner);
  }

  /** Gets the number of shards as sidecars tell it, else the declared one. */
  getShardCount(service: string, declaredCount: number): number {
    return this.#shardCounts.get(service) ?? declaredCount;
  }

  /** Sets the number of shards that a sidecar told. */
  setShardCount(service: string, count: number): void {
    if (Number.isSafeInteger(count) && count > 0) {
      this.#shardCounts.set(service, count);
    }
  }
}
