import { getWireId, type MembershipTables } from "@jasminetide/core/membership";

/** Maps runners to the numbers of their sidecars' members; caches lookups. */
export class WireIdIndex {
  readonly #tables: MembershipTables;
  readonly #wireIds = new Map<string, number>();

  private constructor(tables: MembershipTables) {
    this.#tables = tables;
  }

  /** Creates an index with an empty cache. */
  static create(tables: MembershipTables): WireIdIndex {
    return new WireIdIndex(tables);
  }

  /** Finds the number of the member that is the runner's sidecar. */
  find(runner: string): number | undefined {
    const { members } = this.#tables;
    const cached = this.#wireIds.get(runner);
    if (cached !== undefined && members.has(cached)) return cached;
    for (const { identity } of members.rows()) {
      if (identity.runner?.id !== runner) continue;
      const wireId = getWireId(identity);
      this.#wireIds.set(runner, wireId);
      return wireId;
    }
    return undefined;
  }
}
