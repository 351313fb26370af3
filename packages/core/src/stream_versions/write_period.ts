/** Routers that write their records, and the store that they write them to. */
export type WriteLoad = {
  routers: number;
  /** Writes a second that the store accepts from all processes together. */
  writesPerSecond: number;
};

/** Gets the least time between two writes of one router's record. */
export function getWritePeriodMs(
  { routers, writesPerSecond }: WriteLoad,
): number {
  const periodMs = 1000 * routers / (writesPerSecond * writeShare);
  return Math.max(minPeriodMs, periodMs);
}

/** Least time between two writes, however few routers there are. */
const minPeriodMs = 100;

/** Share of the writes that the store accepts; others need the rest. */
const writeShare = 0.25;
