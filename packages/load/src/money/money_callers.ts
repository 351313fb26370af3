import type { LedgerAnswer } from "@jasminetide/core/ledger";
import { createScopedKey } from "@jasminetide/core/ledger";
import type { RandomSource } from "@jasminetide/core/random";
import type { TimerService } from "@jasminetide/core/timers";
import type { FakeRouter, MoneyRequest } from "./fake_router.ts";
import type { HistoryChecker } from "./history_checker.ts";

/** How callers behave. */
export type MoneyCallersOptions = {
  timers: TimerService;
  random: RandomSource;
  routers: FakeRouter[];
  checker: HistoryChecker;
  callsPerSecond: number;
  /** Calls after which no new payment begins. */
  calls: number;
};

type Payment = Omit<MoneyRequest, "deadlineAtMs">;

const deadlineMs = 10_000;
const maxTries = 4;
const rememberedPayments = 2000;
const timelessShare = 0.005;
const otherBodyShare = 0.01;
const duplicateShare = 0.02;
const oldRetryShare = 0.03;
const backdatedMs = 300_000;
const backdatedShare = 0.02;

/** Callers that pay, retry through any router, and come back late. */
export class MoneyCallers {
  readonly #options: MoneyCallersOptions;
  readonly #past: Payment[] = [];
  #payments = 0;

  private constructor(options: MoneyCallersOptions) {
    this.#options = options;
  }

  /** Creates callers that have not begun. */
  static create(options: MoneyCallersOptions): MoneyCallers {
    return new MoneyCallers(options);
  }

  /** Whether all calls have been sent. */
  get isDone(): boolean {
    return this.#options.checker.counts.calls >= this.#options.calls;
  }

  /** Begins to pay at random times. */
  start(): void {
    const { timers, random, callsPerSecond } = this.#options;
    const gapMs = -Math.log(1 - random.getFloat()) * 1000 / callsPerSecond;
    timers.schedule(gapMs, () => {
      if (this.isDone) return;
      this.#send();
      this.start();
    });
  }

  #send(): void {
    const { random } = this.#options;
    if (this.#past.length > 0 && random.getFloat() < oldRetryShare) {
      this.#try(this.#past[random.getInteger(this.#past.length)], 1);
      return;
    }
    const payment = this.#createPayment();
    this.#record(payment);
    this.#try(payment, 1);
    if (random.getFloat() < duplicateShare) this.#try(payment, 1);
    if (random.getFloat() < otherBodyShare) {
      this.#try({ ...payment, requestHash: "other" }, maxTries);
    }
  }

  #createPayment(): Payment {
    const { random, timers } = this.#options;
    this.#payments += 1;
    const isTimeless = random.getFloat() < timelessShare;
    const ageMs = random.getFloat() < backdatedShare
      ? random.getFloat() * backdatedMs
      : 0;
    return {
      key: createScopedKey("w", `k${this.#payments}`),
      issuedAtMs: isTimeless
        ? undefined
        : Math.max(0, Math.floor(timers.nowMs() - ageMs)),
      requestHash: "body",
    };
  }

  #record(payment: Payment): void {
    if (this.#past.length < rememberedPayments) this.#past.push(payment);
    else {
      this.#past[this.#options.random.getInteger(this.#past.length)] = payment;
    }
  }

  #try(payment: Payment, count: number): void {
    const { timers, random, routers, checker } = this.#options;
    checker.counts.calls += 1;
    const router = routers[random.getInteger(routers.length)];
    router.send(
      { ...payment, deadlineAtMs: timers.nowMs() + deadlineMs },
      (answer) => {
        const request = `${payment.key} ${payment.requestHash}`;
        checker.recordAnswer(request, answer, timers.nowMs());
        if (count >= maxTries || !isRetried(answer)) return;
        const delayMs = random.getFloat() * 1000 * 2 ** count;
        timers.schedule(delayMs, () => this.#try(payment, count + 1));
      },
    );
  }
}

function isRetried(answer: LedgerAnswer): boolean {
  if (answer.type === "moved") return true;
  return answer.type === "refused" && answer.executed !== "yes" &&
    answer.result !== "keyTooOld" && answer.result !== "keyReused";
}
