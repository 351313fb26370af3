import { getWireId, type MembershipTables } from "@jasminetide/core/membership";

/** Finds the number of the member beside a runner; remembers what it found. */
export class WireIdIndex {
  readonly #tables: MembershipTables;
  readonly #wireIds = new Map<string, number>();

  private constructor(tables: MembershipTables) {
    this.#tables = tables;
  }

  /** Creates an index that has found nothing yet. */
  static create(tables: MembershipTables): WireIdIndex {
    return new WireIdIndex(tables);
  }

  /** Finds the number of the member beside a runner. */
  find(runner: string): number | undefined {
    const { members } = this.#tables;
    const known = this.#wireIds.get(runner);
    if (known !== undefined && members.has(known)) return known;
    for (const { identity } of members.rows()) {
      if (identity.runner?.id !== runner) continue;
      const wireId = getWireId(identity);
      this.#wireIds.set(runner, wireId);
      return wireId;
    }
    return undefined;
  }
}
