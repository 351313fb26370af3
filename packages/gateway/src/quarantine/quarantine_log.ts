import {
  type CrashQuarantine,
  isRequestKey,
  type QuarantinedPart,
} from "@jasminetide/core/quarantine";
import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import type { GatewayMetrics } from "../gateway_metrics.ts";

/** Options of a log. */
export type QuarantineLogOptions = {
  quarantine: CrashQuarantine;
  timers: TimerService;
  logger: Logger;
  metrics: GatewayMetrics;
};

/** Logs and counts the begin and the end of each quarantine. */
export class QuarantineLog {
  readonly #options: QuarantineLogOptions;
  /** Checks at the end of each quarantine that was logged, by part. */
  readonly #releases = new Map<string, TimerSubscription>();

  private constructor(options: QuarantineLogOptions) {
    this.#options = options;
  }

  /** Creates a log of a quarantine without evidence. */
  static create(options: QuarantineLogOptions): QuarantineLog {
    return new QuarantineLog(options);
  }

  /** Logs what has begun or ended since the evidence on some parts changed. */
  update(changedParts: Iterable<string>): void {
    const { quarantine, timers } = this.#options;
    // A crash may also show that another part is not to blame.
    const partIds = new Set([...changedParts, ...this.#releases.keys()]);
    for (const partId of partIds) {
      const found = quarantine.find([partId], timers.nowMs());
      const isLogged = this.#releases.has(partId);
      if (found !== undefined && !isLogged) this.#logBegin(found);
      else if (found === undefined && isLogged) this.#logEnd(partId);
    }
  }

  [Symbol.dispose](): void {
    for (const release of this.#releases.values()) release[Symbol.dispose]();
    this.#releases.clear();
  }

  #logBegin(found: QuarantinedPart): void {
    const { logger, metrics } = this.#options;
    const { leftMs, ...counts } = found;
    const subject = getSubject(found.partId);
    logger.warn(`${subject}-quarantined`, { ...counts, durationMs: leftMs });
    metrics.countQuarantined(subject);
    this.#scheduleRelease(found);
  }

  #logEnd(partId: string): void {
    this.#releases.get(partId)?.[Symbol.dispose]();
    this.#releases.delete(partId);
    this.#options.logger.info(`${getSubject(partId)}-released`, { partId });
  }

  /** Checks the part again when its quarantine would end. */
  #scheduleRelease({ leftMs, partId }: QuarantinedPart): void {
    const { quarantine, timers } = this.#options;
    const release = timers.schedule(leftMs, (nowMs) => {
      const found = quarantine.find([partId], nowMs);
      if (found === undefined) this.update([partId]);
      else this.#scheduleRelease(found);
    });
    this.#releases.set(partId, release);
  }
}

/** What a quarantine is about, as log lines and metrics name it. */
function getSubject(partId: string): "prompt" | "request" {
  return isRequestKey(partId) ? "request" : "prompt";
}
