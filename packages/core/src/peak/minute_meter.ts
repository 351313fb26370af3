/** Length of the interval by which suppliers bill. */
export const minuteMs = 60_000;

/** Tokens computed in one calendar minute. */
export type MinuteRow = { minute: number; tokens: number; deferrable: number };

/** Minutes that can still be corrected. */
const keptMinutes = 30;

/** Weight of the last minute in the expectation of the present one. */
const recentWeight = 0.3;

/** Weight of the last minute in the long-term mean. */
const meanWeight = 0.05;

/** Counts computed tokens by calendar minute and keeps their peak. */
export class MinuteMeter {
  #rows: MinuteRow[] = [];
  #earlierPeakTokens = 0;
  #recentTokens: number | undefined;
  #meanTokens: number | undefined;

  private constructor() {}

  /** Creates a meter that has counted nothing. */
  static create(): MinuteMeter {
    return new MinuteMeter();
  }

  /**
   * Counts tokens in the minute of `atMs`. A negative count corrects an
   * estimate; one for a minute long past is dropped.
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

  /** Gets the row of the present minute. */
  getCurrent(nowMs: number): MinuteRow {
    const minute = Math.floor(nowMs / minuteMs);
    this.#advance(minute);
    return this.#rows[this.#rows.length - 1];
  }

  /** Gets the highest count of a past minute. */
  getPeakTokens(nowMs: number): number {
    const { minute } = this.getCurrent(nowMs);
    return this.#rows.reduce(
      (peak, row) => row.minute < minute ? Math.max(peak, row.tokens) : peak,
      this.#earlierPeakTokens,
    );
  }

  /** Tokens of work that does not wait, expected in a minute like the last. */
  get recentTokens(): number | undefined {
    return this.#recentTokens;
  }

  /** Tokens of work that does not wait, in an ordinary minute. */
  get meanTokens(): number {
    return this.#meanTokens ?? 0;
  }

  #advance(minute: number): void {
    const last = this.#rows.at(-1);
    if (last !== undefined && minute <= last.minute) return;
    if (last !== undefined) this.#completeMinute(last, minute);
    this.#rows.push({ minute, tokens: 0, deferrable: 0 });
    while (this.#rows.length > keptMinutes) {
      const [{ tokens }] = this.#rows.splice(0, 1);
      this.#earlierPeakTokens = Math.max(this.#earlierPeakTokens, tokens);
    }
  }

  #completeMinute(row: MinuteRow, nextMinute: number): void {
    const counts = [row.tokens - row.deferrable];
    const idleMinutes = Math.min(keptMinutes, nextMinute - row.minute - 1);
    for (let index = 0; index < idleMinutes; index += 1) counts.push(0);
    for (const tokens of counts) {
      this.#recentTokens = mixAverage(this.#recentTokens, {
        tokens,
        weight: recentWeight,
      });
      this.#meanTokens = mixAverage(this.#meanTokens, {
        tokens,
        weight: meanWeight,
      });
    }
  }
}

function mixAverage(
  average: number | undefined,
  sample: { tokens: number; weight: number },
): number {
  if (average === undefined) return sample.tokens;
  return average + sample.weight * (sample.tokens - average);
}
