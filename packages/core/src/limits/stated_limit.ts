/** How a runner's statement differs from its last one. */
export type LimitChange =
  | { type: "begun"; perSecond: number }
  | { type: "changed"; perSecond: number; beforePerSecond: number }
  | { type: "ended"; beforePerSecond: number };

/**
 * Limit on the requests of all routers together that a runner process states in
 * its answers, for as long as it does.
 */
export class StatedLimit {
  #perSecond: number | undefined;

  private constructor() {}

  /** Creates the limit of a process that has stated none. */
  static create(): StatedLimit {
    return new StatedLimit();
  }

  /**
   * Records what an answer states.
   *
   * @param perSecond requests a second; undefined if it states no limit.
   * @returns the change if it is more than slight.
   */
  record(perSecond: number | undefined): LimitChange | undefined {
    const before = this.#perSecond;
    this.#perSecond = perSecond;
    return describeChange(before, perSecond);
  }
}

function describeChange(
  before: number | undefined,
  perSecond: number | undefined,
): LimitChange | undefined {
  if (perSecond === undefined) {
    return before === undefined
      ? undefined
      : { type: "ended", beforePerSecond: before };
  }
  if (before === undefined) return { type: "begun", perSecond };
  if (Math.abs(perSecond - before) <= before * slightShare) return undefined;
  return { type: "changed", perSecond, beforePerSecond: before };
}

/** Share of a limit up to which a change of it is slight. */
const slightShare = 0.1;
