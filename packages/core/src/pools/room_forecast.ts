/** When a refused caller should come back. */
export type ReturnOptions = {
  nowMs: number;
  /** Time that the caller has left. */
  leftMs: number;
  /** From 0 to 1; spreads callers that were refused together. */
  random: number;
};

/**
 * Tells refused callers of one service when room is expected, from the rates at
 * which this router's requests end and at which it has to refuse. Callers that
 * come back sooner than room does are refused again; those that come back late
 * leave it unused.
 */
export class RoomForecast {
  #freedAtMs: number[] = [];
  #refusedAtMs: number[] = [];

  private constructor() {}

  /** Creates a forecast that has seen nothing yet. */
  static create(): RoomForecast {
    return new RoomForecast();
  }

  /** Records that a request has left its runner. */
  recordFreed(nowMs: number): void {
    this.#freedAtMs.push(nowMs);
    this.#freedAtMs = selectRecent(this.#freedAtMs, nowMs);
  }

  /** Records a refusal, and gets the time after which to come back. */
  refuse({ leftMs, nowMs, random }: ReturnOptions): number {
    this.#refusedAtMs.push(nowMs);
    this.#refusedAtMs = selectRecent(this.#refusedAtMs, nowMs);
    const freed = selectRecent(this.#freedAtMs, nowMs).length;
    const waiting = this.#refusedAtMs.length;
    const expectedMs = windowMs * waiting / Math.max(leastFreed, freed);
    const spreadMs = expectedMs * (leastSpread + random);
    const returnMs = Math.min(longestMs, spreadMs, leftMs * usableShare);
    return Math.max(shortestMs, returnMs);
  }
}

/** Rates are those of the last second, in which places come free often. */
const windowMs = 1000;

/** Requests that end in the window where few were seen, as after a start. */
const leastFreed = 4;

/** Callers return between half of the expected time and half more than it. */
const leastSpread = 0.5;

const shortestMs = 150;

/** What is known of the present says little about later than this. */
const longestMs = 2000;

/** Part of its time left that a caller waits at most, and still can be served. */
const usableShare = 1 / 3;

function selectRecent(timesMs: number[], nowMs: number): number[] {
  const first = timesMs.findIndex((timeMs) => timeMs > nowMs - windowMs);
  if (first <= 0) return first === 0 ? timesMs : [];
  return timesMs.slice(first);
}
