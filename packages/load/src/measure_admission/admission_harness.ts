import { setImmediate } from "node:timers/promises";
import {
  AdmissionController,
  type TaskObserver,
} from "@jasminetide/core/admission";
import { settingsSchema } from "@jasminetide/core/configuration";
import {
  createSeededRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import { normalizeError } from "@jasminetide/core/results";
import { VirtualTimerService } from "@jasminetide/core/timers";
import {
  createEngineProfile,
  EngineDriver,
  EngineModel,
  type EngineProfile,
  type EngineRequest,
} from "@jasminetide/stand_in/engine";

/** A request at the time at which it arrives at a sidecar. */
export type RequestArrival = {
  atMs: number;
  workspace: string;
  /** Number of the chat; the engine caches the blocks of its earlier turns. */
  chat: number;
  /** Length of the chat's first prompt, in blocks. */
  firstBlocks: number;
  /** Blocks added to the chat's next prompt when the answer is complete. */
  growthBlocks: number;
  answerTokens: number;
  deadlineMs: number;
};

/** Outcome of one request. */
export type RequestOutcome = {
  arrival: RequestArrival;
  /** Time from arrival to the first token; absent when it was refused. */
  firstTokenMs?: number;
  endMs?: number;
  /** Field `executed` of the error; absent when the request was served. */
  executed?: string;
};

/** Settings of admission and of the engine for one runner. */
export type AdmissionHarnessOptions = {
  admission?: { [name: string]: number };
  sharesSlots?: boolean;
  profile?: Partial<EngineProfile>;
};

const stepMs = 1;
const blockTokens = 16;
const blocksPerChat = 100_000;

/** Draws a sample from an exponential distribution. */
export function drawExponential(random: RandomSource, mean: number): number {
  return -Math.log(1 - random.getFloat()) * mean;
}

/** Gets a quantile of samples, or 0 when there are no samples. */
export function getQuantile(samples: number[], quantile: number): number {
  const sorted = samples.toSorted((left, right) => left - right);
  return sorted[Math.floor(quantile * (sorted.length - 1))] ?? 0;
}

/** Runs the admission controller with an engine model in virtual time. */
export class AdmissionHarness {
  readonly #timers = VirtualTimerService.create();
  readonly #admission: AdmissionController;
  readonly #driver: EngineDriver;
  readonly #chatBlocks = new Map<number, number>();
  readonly #outcomes: RequestOutcome[] = [];

  private constructor(options: AdmissionHarnessOptions) {
    const settings = settingsSchema.parse({ admission: options.admission });
    const mean = { tokens: 0, ageMs: 0, errorTokens: 0 };
    this.#admission = AdmissionController.create({
      getSettings: () => settings,
      capacity: 1,
      getMeanLoad: () => ({ ...mean, runners: 1, staleRunners: 0 }),
      timers: this.#timers,
      sharesSlots: options.sharesSlots ?? true,
    });
    const model = EngineModel.create({
      profile: createEngineProfile({ ...options.profile, blockTokens }),
      models: ["m"],
      random: createSeededRandom(1),
    });
    this.#driver = EngineDriver.create(model, this.#timers);
  }

  /** Creates a harness with an idle runner. */
  static create(options: AdmissionHarnessOptions): AdmissionHarness {
    return new AdmissionHarness(options);
  }

  /** Runs arrivals, which are sorted by time, until `durationMs`. */
  async run(
    arrivals: RequestArrival[],
    durationMs: number,
  ): Promise<RequestOutcome[]> {
    let next = 0;
    while (this.#timers.nowMs() < durationMs) {
      this.#timers.advance(stepMs);
      for (; arrivals[next]?.atMs <= this.#timers.nowMs(); next += 1) {
        this.#serve(arrivals[next], `${next}`);
      }
      await setImmediate();
    }
    return this.#outcomes;
  }

  #serve(arrival: RequestArrival, id: string): void {
    const { answerTokens, atMs, chat, deadlineMs, workspace } = arrival;
    const length = this.#chatBlocks.get(chat) ?? arrival.firstBlocks;
    this.#chatBlocks.set(chat, length);
    const promptTokens = length * blockTokens;
    const request = {
      id,
      model: "m",
      priority: 1,
      promptTokens,
      promptBlocks: Array.from(
        { length },
        (_, index) => chat * blocksPerChat + index,
      ),
      answerTokens,
      answerBlocks: [],
    };
    const outcome: RequestOutcome = { arrival };
    this.#outcomes.push(outcome);
    this.#admission.run({
      workspace,
      priority: 1,
      weight: 1,
      costTokens: promptTokens + answerTokens,
      deadlineAtMs: atMs + deadlineMs,
    }, (observer) => this.#generate(request, { outcome, observer })).catch(
      (error: unknown) => outcome.executed = normalizeError(error).executed,
    );
  }

  #generate(
    request: EngineRequest,
    options: { outcome: RequestOutcome; observer: TaskObserver },
  ): Promise<void> {
    const { outcome, observer } = options;
    const { atMs, chat, growthBlocks } = outcome.arrival;
    return new Promise((resolve) => {
      this.#driver.start(request, (event) => {
        if (event.type === "token") {
          observer.observeTokens(1);
          outcome.firstTokenMs ??= event.atMs - atMs;
        } else if (event.type === "finished") {
          const length = this.#chatBlocks.get(chat) ?? 0;
          this.#chatBlocks.set(chat, length + growthBlocks);
          outcome.endMs = event.atMs - atMs;
          resolve();
        }
      });
    });
  }
}
