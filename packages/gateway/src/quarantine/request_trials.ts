import type { KnownRouters } from "@jasminetide/core/hashing";
import {
  type CrashQuarantine,
  getReturnMs,
  type QuarantinedPart,
  QuarantineTrials,
  type Trial,
} from "@jasminetide/core/quarantine";
import type { RandomSource } from "@jasminetide/core/random";
import type { TimerService } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import { listSuspectIds, type SuspectRequest } from "./suspect_request.ts";

/** Options of trials. */
export type RequestTrialsOptions = {
  timers: TimerService;
  random: RandomSource;
  logger: Logger;
  quarantine: CrashQuarantine;
  /** All gateways. */
  getKnownRouters: () => KnownRouters;
};

/** Chooses quarantined requests that are sent to find out if they are sound. */
export class RequestTrials {
  readonly #options: RequestTrialsOptions;
  readonly #trials = QuarantineTrials.create();

  private constructor(options: RequestTrialsOptions) {
    this.#options = options;
  }

  /** Creates trials of which none was sent. */
  static create(options: RequestTrialsOptions): RequestTrials {
    return new RequestTrials(options);
  }

  /** Whether a quarantined request is to be sent on trial. */
  isDue(suspect: SuspectRequest): boolean {
    const { getKnownRouters, timers } = this.#options;
    const trial = this.#find(suspect);
    if (trial === undefined) return false;
    const nowMs = timers.nowMs();
    return this.#trials.isDue(trial, { nowMs, routers: getKnownRouters() });
  }

  /**
   * Records that a quarantined request is sent to a runner on trial.
   *
   * @returns its quarantined parts and key.
   */
  recordSend(suspect: SuspectRequest): readonly string[] {
    const { logger, timers } = this.#options;
    const trial = this.#find(suspect);
    if (trial === undefined) return [];
    const nowMs = timers.nowMs();
    this.#trials.recordSend(trial, nowMs);
    logger.info("sent-on-trial", {
      attemptId: suspect.caller.attemptId,
      partIds: trial.partIds.join(" "),
      dueForMs: Math.round(nowMs - trial.dueMs),
    });
    return trial.partIds;
  }

  /** Forgets the trials of parts that turned out to be sound. */
  forget(partIds: Iterable<string>): void {
    this.#trials.forget(partIds);
  }

  /**
   * Gets the time after which the caller of a quarantined request should come
   * back: soon if a trial may find that the request is sound.
   */
  getReturnMs(suspect: SuspectRequest, { leftMs }: QuarantinedPart): number {
    const { random, timers } = this.#options;
    const trial = this.#find(suspect);
    if (trial === undefined) return leftMs;
    const returnMs = getReturnMs(trial, {
      nowMs: timers.nowMs(),
      random: random.getFloat(),
    });
    return Math.min(leftMs, returnMs);
  }

  #find(suspect: SuspectRequest): Trial | undefined {
    const { quarantine, timers } = this.#options;
    return quarantine.findTrial(listSuspectIds(suspect), timers.nowMs());
  }
}
