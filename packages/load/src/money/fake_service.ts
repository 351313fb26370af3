import { Buffer } from "node:buffer";
import type { StoredAnswer } from "@jasminetide/core/ledger";
import type { RandomSource } from "@jasminetide/core/random";
import type { TimerService } from "@jasminetide/core/timers";

/** One call as it reaches the service. */
export type ServiceRequest = {
  /** Identifier that comes back with the answer. */
  attempt: string;
  /** Key and body of the caller's request. */
  request: string;
};

/** Faults of the way to the service and back, by probability. */
export type ServiceFaultRates = {
  /** The connection is refused: proven not run. */
  refused: number;
  lostAnswer: number;
  /** An answer comes after its caller has given up. */
  lateAnswer: number;
};

/** How the service behaves. */
export type FakeServiceOptions = {
  timers: TimerService;
  random: RandomSource;
  faults: ServiceFaultRates;
  onEffect: (request: ServiceRequest) => void;
  /** Told when an answer is not going to arrive in time. */
  onLoss: (request: ServiceRequest) => void;
};

/** What the connection brings back. */
export type ServiceAnswer =
  | { type: "refused" }
  | { type: "answered"; answer: StoredAnswer };

const lowestMs = 2;
const spreadMs = 20;
const lateMs = 3000;

/** A service that counts effects and does not protect itself. */
export class FakeService {
  readonly #options: FakeServiceOptions;

  private constructor(options: FakeServiceOptions) {
    this.#options = options;
  }

  /** Creates the service behind all runners. */
  static create(options: FakeServiceOptions): FakeService {
    return new FakeService(options);
  }

  /** Runs a call; the answer may be late or never come. */
  run(
    request: ServiceRequest,
    answer: (answer: ServiceAnswer) => void,
  ): void {
    const { timers, random, faults, onEffect, onLoss } = this.#options;
    if (random.getFloat() < faults.refused) {
      timers.schedule(1, () => answer({ type: "refused" }));
      return;
    }
    const isLost = random.getFloat() < faults.lostAnswer;
    const isLate = random.getFloat() < faults.lateAnswer;
    if (isLost || isLate) onLoss(request);
    const thereMs = lowestMs + random.getFloat() * spreadMs;
    timers.schedule(thereMs, () => {
      onEffect(request);
      if (isLost) return;
      timers.schedule(isLate ? lateMs : 1, () =>
        answer({
          type: "answered",
          answer: {
            status: 201,
            headers: { "content-type": "application/json" },
            body: Buffer.from(JSON.stringify({ request: request.request })),
          },
        }));
    });
  }
}
