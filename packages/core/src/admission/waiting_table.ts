import type { AdmissionRequest } from "./types.ts";

/** A request that waits for a slot. */
export type WaitingRow = {
  id: string;
  request: AdmissionRequest;
  /** Removes the request from the queue and rejects it with the reason. */
  refuse: (reason: unknown) => void;
};

/** The requests that wait for a slot, in order of arrival. */
export class WaitingTable {
  readonly #rows = new Map<string, WaitingRow>();

  private constructor() {}

  /** Creates an empty table. */
  static create(): WaitingTable {
    return new WaitingTable();
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#rows.size;
  }

  set(row: WaitingRow): void {
    this.#rows.set(row.id, row);
  }

  delete(id: string): boolean {
    return this.#rows.delete(id);
  }

  /**
   * Gets the tokens that are served before a new request: all tokens of higher
   * classes, those that its workspace has queued in its class, and from each
   * other workspace in the class as many as have the same cost per weight.
   */
  getTokensAhead(request: AdmissionRequest): number {
    const tokens = this.#getTokens(request.priority);
    const own = tokens.get(request.workspace)?.tokens ?? 0;
    const share = (own + request.costTokens) / request.weight;
    let ahead = own + this.#getHigherTokens(request.priority);
    for (const [workspace, flow] of tokens) {
      if (workspace === request.workspace) continue;
      ahead += Math.min(flow.tokens, share * flow.weight);
    }
    return ahead;
  }

  /** Gets the tokens that the request's workspace has queued in its class. */
  getWorkspaceTokens({ priority, workspace }: AdmissionRequest): number {
    return this.#getTokens(priority).get(workspace)?.tokens ?? 0;
  }

  /**
   * Finds the request to evict for a new one: the last of the lowest class, if
   * that is below the new request's class. Otherwise the last of the workspace
   * in the same class that has the most tokens queued per weight, if that is
   * more than the new request's workspace would then have.
   */
  findEvictable(request: AdmissionRequest): WaitingRow | undefined {
    const rows = [...this.#rows.values()];
    const lowest = Math.max(...rows.map((row) => row.request.priority));
    if (lowest > request.priority) {
      return rows.findLast((row) => row.request.priority === lowest);
    }
    const tokens = this.#getTokens(request.priority);
    const own = tokens.get(request.workspace)?.tokens ?? 0;
    let share = (own + request.costTokens) / request.weight;
    let heaviest: string | undefined;
    for (const [workspace, flow] of tokens) {
      if (flow.tokens / flow.weight <= share) continue;
      share = flow.tokens / flow.weight;
      heaviest = workspace;
    }
    return rows.findLast((row) =>
      row.request.priority === request.priority &&
      row.request.workspace === heaviest
    );
  }

  /** Gets the tokens queued in classes above `priority`. */
  #getHigherTokens(priority: number): number {
    let tokens = 0;
    for (const { request } of this.#rows.values()) {
      if (request.priority < priority) tokens += request.costTokens;
    }
    return tokens;
  }

  /** Gets tokens queued and weight by workspace in the class `priority`. */
  #getTokens(
    priority: number,
  ): Map<string, { tokens: number; weight: number }> {
    const flows = new Map<string, { tokens: number; weight: number }>();
    for (const { request } of this.#rows.values()) {
      if (request.priority !== priority) continue;
      const tokens = flows.get(request.workspace)?.tokens ?? 0;
      flows.set(request.workspace, {
        tokens: tokens + request.costTokens,
        weight: request.weight,
      });
    }
    return flows;
  }
}
