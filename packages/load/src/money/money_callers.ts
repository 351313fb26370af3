/** Simulated callers that send and retry payments. */
import type { LedgerAnswer } from "@jasminetide/core/ledger";
import { createScopedKey } from "@jasminetide/core/ledger";
import type { RandomSource } from "@jasminetide/core/random";
import type { TimerService } from "@jasminetide/core/timers";
import type { FakeRouter, MoneyRequest } from "./fake_router.ts";
import type { HistoryChecker } from "./history_checker.ts";

/** Dependencies and load of the callers. */
export type MoneyCallersOptions = {
  timers: TimerService;
  random: RandomSource;
  routers: FakeRouter[];
  checker: HistoryChecker;
  callsPerSecond: number;
  /** Number of calls after which no new payment starts. */
  calls: number;
};

type Payment = Omit<MoneyRequest, "deadlineAtMs">;

const deadlineMs = 10_000;
const maxAttempts = 4;
/** Number of earlier payments that may be sent again. */
const maxPastPayments = 2000;
/** Share of payments whose key has no issue time. */
const untimedShare = 0.005;
/** Share of payments that are sent again with another body. */
const otherBodyShare = 0.01;
/** Share of payments that are sent twice at the same time. */
const duplicateShare = 0.02;
/** Share of sends that repeat an earlier payment. */
const oldRetryShare = 0.03;
/** Highest age of a backdated key when it is first sent. */
const maxBackdatedMs = 300_000;
/** Share of payments whose key is backdated. */
const backdatedShare = 0.02;

/** Callers that send payments, and retry them through any router, also late. */
export class MoneyCallers {
  readonly #options: MoneyCallersOptions;
  readonly #past: Payment[] = [];
  #payments = 0;

  private constructor(options: MoneyCallersOptions) {
    this.#options = options;
  }

  /** Creates callers that have not started. */
  static create(options: MoneyCallersOptions): MoneyCallers {
    return new MoneyCallers(options);
  }

  /** Whether all calls have been sent. */
  get isDone(): boolean {
    return this.#options.checker.counts.calls >= this.#options.calls;
  }

  /** Starts to send payments at random times. */
  start(): void {
    const { timers, random, callsPerSecond } = this.#options;
    const gapMs = -Math.log(1 - random.getFloat()) * 1000 / callsPerSecond;
    timers.schedule(gapMs, () => {
      if (this.isDone) return;
      this.#sendNext();
      this.start();
    });
  }

  #sendNext(): void {
    const { random } = this.#options;
    if (this.#past.length > 0 && random.getFloat() < oldRetryShare) {
      this.#attempt(this.#past[random.getInteger(this.#past.length)], 1);
      return;
    }
    const payment = this.#createPayment();
    this.#record(payment);
    this.#attempt(payment, 1);
    if (random.getFloat() < duplicateShare) this.#attempt(payment, 1);
    if (random.getFloat() < otherBodyShare) {
      this.#attempt({ ...payment, requestHash: "other" }, maxAttempts);
    }
  }

  #createPayment(): Payment {
    const { random, timers } = this.#options;
    this.#payments += 1;
    const isUntimed = random.getFloat() < untimedShare;
    const ageMs = random.getFloat() < backdatedShare
      ? random.getFloat() * maxBackdatedMs
      : 0;
    return {
      key: createScopedKey("w", `k${this.#payments}`),
      issuedAtMs: isUntimed
        ? undefined
        : Math.max(0, Math.floor(timers.nowMs() - ageMs)),
      requestHash: "body",
    };
  }

  #record(payment: Payment): void {
    if (this.#past.length < maxPastPayments) this.#past.push(payment);
    else {
      this.#past[this.#options.random.getInteger(this.#past.length)] = payment;
    }
  }

  #attempt(payment: Payment, attemptNumber: number): void {
    const { timers, random, routers, checker } = this.#options;
    checker.counts.calls += 1;
    const router = routers[random.getInteger(routers.length)];
    router.send(
      { ...payment, deadlineAtMs: timers.nowMs() + deadlineMs },
      (answer) => {
        const request = `${payment.key} ${payment.requestHash}`;
        checker.recordAnswer(request, answer, timers.nowMs());
        if (attemptNumber >= maxAttempts || !isRetriable(answer)) return;
        const delayMs = random.getFloat() * 1000 * 2 ** attemptNumber;
        timers.schedule(
          delayMs,
          () => this.#attempt(payment, attemptNumber + 1),
        );
      },
    );
  }
}

function isRetriable(answer: LedgerAnswer): boolean {
  if (answer.type === "moved") return true;
  return answer.type === "refused" && answer.executed !== "yes" &&
    answer.result !== "keyTooOld" && answer.result !== "keyReused";
}
