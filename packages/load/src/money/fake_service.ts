/** Simulated service behind the runners of a run of the ledger. */
import { Buffer } from "node:buffer";
import type { StoredAnswer } from "@jasminetide/core/ledger";
import type { RandomSource } from "@jasminetide/core/random";
import type { TimerService } from "@jasminetide/core/timers";

/** One call as the service receives it. */
export type ServiceRequest = {
  /** Attempt id, which the answer repeats. */
  attempt: string;
  /** Key and hash of the body of the caller's request. */
  request: string;
};

/** Probabilities of faults of the connection to the service. */
export type ServiceFaultRates = {
  /** The connection is refused, so the call has certainly not run. */
  refused: number;
  lostAnswer: number;
  /** An answer arrives after the sidecar's timeout. */
  lateAnswer: number;
};

/** Dependencies and behaviour of the service. */
export type FakeServiceOptions = {
  timers: TimerService;
  random: RandomSource;
  faults: ServiceFaultRates;
  onEffect: (request: ServiceRequest) => void;
  /** Called when the answer will not arrive in time. */
  onLoss: (request: ServiceRequest) => void;
};

/** Result of a call over the connection. */
export type ServiceAnswer =
  | { type: "refused" }
  | { type: "answered"; answer: StoredAnswer };

const lowestMs = 2;
const spreadMs = 20;
const lateMs = 3000;

/** A service that reports each effect and does not detect duplicates. */
export class FakeService {
  readonly #options: FakeServiceOptions;

  private constructor(options: FakeServiceOptions) {
    this.#options = options;
  }

  /** Creates the service that all runners share. */
  static create(options: FakeServiceOptions): FakeService {
    return new FakeService(options);
  }

  /** Runs a call; the answer may be late or lost. */
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
    const requestMs = lowestMs + random.getFloat() * spreadMs;
    timers.schedule(requestMs, () => {
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
