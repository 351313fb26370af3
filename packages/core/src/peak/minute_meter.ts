/** Length of the interval; suppliers bill by the busiest one. */
export const minuteMs = 60_000;

/** Tokens computed in one calendar minute; `tokens` includes `deferrable`. */
export type MinuteRow = { minute: number; tokens: number; deferrable: number };

/** Number of recent minutes whose counts can still be corrected. */
const maximumRows = 30;

/** Weight of the last minute in the short-term average. */
const recentWeight = 0.3;

/** Weight of the last minute in the long-term average. */
const meanWeight = 0.05;

/** Counts computed tokens by calendar minute and tracks their peak. */
export class MinuteMeter {
  #rows: MinuteRow[] = [];
  #earlierPeakTokens = 0;
  #recentRegularTokens: number | undefined;
  #meanRegularTokens: number | undefined;

  private constructor() {}

  /** Creates a meter that has counted nothing. */
  static create(): MinuteMeter {
    return new MinuteMeter();
  }

  /**
   * Counts tokens in the minute of `atMs`. A negative count corrects an earlier
   * estimate. A count is dropped if the row of its minute is no longer kept.
   */
  record(
    tokens: number,
    options: { atMs: number; isDeferrable: boolean },
  ): void {
    const minute = Math.floor(options.atMs / minuteMs);
    this.#advance(minute);
    const row = this.#rows.find((candidate) => candidate.minute === minute);
    if (row === undefined) return;
    row.tokens += tokens;
    if (options.isDeferrable) row.deferrable += tokens;
  }

  /** Gets the row of the current minute. */
  getCurrent(nowMs: number): MinuteRow {
    const minute = Math.floor(nowMs / minuteMs);
    this.#advance(minute);
    return this.#rows[this.#rows.length - 1];
  }

  /** Gets the highest count of all past minutes. */
  getPeakTokens(nowMs: number): number {
    const { minute } = this.getCurrent(nowMs);
    return this.#rows.reduce(
      (peak, row) => row.minute < minute ? Math.max(peak, row.tokens) : peak,
      this.#earlierPeakTokens,
    );
  }

  /** Short-term average of the non-deferrable tokens in a minute. */
  get recentRegularTokens(): number | undefined {
    return this.#recentRegularTokens;
  }

  /** Long-term average of the non-deferrable tokens in a minute. */
  get meanRegularTokens(): number {
    return this.#meanRegularTokens ?? 0;
  }

  /** Completes the last row and adds one for `minute`, if that is later. */
  #advance(minute: number): void {
    const last = this.#rows.at(-1);
    if (last !== undefined && minute <= last.minute) return;
    if (last !== undefined) this.#completeMinute(last, minute);
    this.#rows.push({ minute, tokens: 0, deferrable: 0 });
    while (this.#rows.length > maximumRows) {
      const [{ tokens }] = this.#rows.splice(0, 1);
      this.#earlierPeakTokens = Math.max(this.#earlierPeakTokens, tokens);
    }
  }

  /** Updates the averages by a completed minute and the idle ones after it. */
  #completeMinute(row: MinuteRow, nextMinute: number): void {
    const counts = [row.tokens - row.deferrable];
    const idleMinutes = Math.min(maximumRows, nextMinute - row.minute - 1);
    for (let index = 0; index < idleMinutes; index += 1) counts.push(0);
    for (const tokens of counts) {
      this.#recentRegularTokens = updateAverage(this.#recentRegularTokens, {
        tokens,
        weight: recentWeight,
      });
      this.#meanRegularTokens = updateAverage(this.#meanRegularTokens, {
        tokens,
        weight: meanWeight,
      });
    }
  }
}

function updateAverage(
  average: number | undefined,
  sample: { tokens: number; weight: number },
): number {
  if (average === undefined) return sample.tokens;
  return average + sample.weight * (sample.tokens - average);
}
