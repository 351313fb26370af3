/** Checks of the effects and answers of a run of the ledger. */
import type { LedgerAnswer } from "@jasminetide/core/ledger";

/** Limit on the violations that are kept. */
const maxViolations = 100;

/** Counters of a run: calls, effects, and answers by kind. */
export type MoneyCounts = {
  calls: number;
  effects: number;
  answered: number;
  stored: number;
  refused: number;
  unknown: number;
  unavailable: number;
  otherRefusals: number;
};

/** A violated guarantee of the ledger. */
export type MoneyViolation = { name: string; detail: string };

/** State of one request, which is identified by key and hash of the body. */
type RequestRecord = {
  effects: number;
  /** Time of the last answer with `executed: no`. */
  notExecutedAtMs: number | undefined;
};

/**
 * Checks at each event that no key takes effect twice, that a request answered
 * with `executed: no` has not run, that no attempt abandoned before such an
 * answer runs after it, and that each answer belongs to the caller's request.
 */
export class HistoryChecker {
  readonly counts: MoneyCounts = {
    calls: 0,
    effects: 0,
    answered: 0,
    stored: 0,
    refused: 0,
    unknown: 0,
    unavailable: 0,
    otherRefusals: 0,
  };
  readonly violations: MoneyViolation[] = [];
  readonly #requests = new Map<string, RequestRecord>();
  readonly #keyEffects = new Map<string, number>();
  /** Times at which routers abandoned unanswered attempts. */
  readonly #abandonedAtMs = new Map<string, number>();

  /** Keys whose outcome a fault may have lost. */
  readonly #exposedKeys = new Set<string>();
  readonly #isEveryKeyExposed: boolean;

  private constructor(isEveryKeyExposed: boolean) {
    this.#isEveryKeyExposed = isEveryKeyExposed;
  }

  /**
   * Creates a checker without any events.
   *
   * @param options.isEveryKeyExposed whether any key may become unknown.
   */
  static create(options: { isEveryKeyExposed: boolean }): HistoryChecker {
    return new HistoryChecker(options.isEveryKeyExposed);
  }

  /** Records that a fault may have lost the outcome of a key. */
  recordExposed(key: string): void {
    this.#exposedKeys.add(key);
  }

  /** Records that a router abandons an attempt. */
  recordAbandoned(attempt: string, nowMs: number): void {
    this.#abandonedAtMs.set(attempt, nowMs);
  }

  /** Records an effect at the service. */
  recordEffect(attempt: string, request: string): void {
    this.counts.effects += 1;
    const key = request.slice(0, request.lastIndexOf(" "));
    const effects = (this.#keyEffects.get(key) ?? 0) + 1;
    this.#keyEffects.set(key, effects);
    if (effects > 1) this.#fail("effect-twice", `${key} ran ${effects} times`);
    const record = this.#getRecord(request);
    record.effects += 1;
    const abandonedAtMs = this.#abandonedAtMs.get(attempt) ?? Infinity;
    if (abandonedAtMs <= (record.notExecutedAtMs ?? 0)) {
      this.#fail(
        "ran-after-no",
        `${request} was answered with executed: no before`,
      );
    }
  }

  /** Records the answer that a caller receives. */
  recordAnswer(request: string, answer: LedgerAnswer, nowMs: number): void {
    switch (answer.type) {
      case "answered":
        this.counts[answer.isStored ? "stored" : "answered"] += 1;
        this.#checkAnswer(request, answer.answer.body);
        break;
      case "refused":
        this.#recordRefusal(request, answer, nowMs);
        break;
      case "moved":
        this.counts.unavailable += 1;
    }
  }

  #recordRefusal(
    request: string,
    answer: Extract<LedgerAnswer, { type: "refused" }>,
    nowMs: number,
  ): void {
    if (answer.result === "outcomeUnknown") this.#recordUnknown(request);
    else if (answer.executed === "unknown") this.counts.unavailable += 1;
    else if (answer.result === "ledgerUnavailable") this.counts.refused += 1;
    else this.counts.otherRefusals += 1;
    if (answer.executed !== "no") return;
    const record = this.#getRecord(request);
    record.notExecutedAtMs = nowMs;
    if (record.effects > 0) {
      this.#fail(
        "told-no-but-ran",
        `${request} was answered with ${answer.result}`,
      );
    }
  }

  #recordUnknown(request: string): void {
    this.counts.unknown += 1;
    if (this.#isEveryKeyExposed) return;
    const key = request.slice(0, request.lastIndexOf(" "));
    if (this.#exposedKeys.has(key)) return;
    this.#fail("needless-unknown", `${key} was not in flight at a fault`);
  }

  #checkAnswer(request: string, body: Uint8Array): void {
    const received = JSON.parse(new TextDecoder().decode(body)) as {
      request: string;
    };
    if (received.request === request) return;
    this.#fail(
      "foreign-answer",
      `${request} got the answer to ${received.request}`,
    );
  }

  #getRecord(request: string): RequestRecord {
    let record = this.#requests.get(request);
    if (record === undefined) {
      record = { effects: 0, notExecutedAtMs: undefined };
      this.#requests.set(request, record);
    }
    return record;
  }

  #fail(name: string, detail: string): void {
    if (this.violations.length < maxViolations) {
      this.violations.push({ name, detail });
    }
  }
}
