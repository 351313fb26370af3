import {
  type Crash,
  CrashQuarantine,
  type Evidence,
  type QuarantinedPart,
} from "@jasminetide/core/quarantine";
import type { RandomSource } from "@jasminetide/core/random";
import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import { maxIdLength, maxPartCount } from "../peers/evidence_schema.ts";
import {
  type BegunAnswer,
  type CallerRequest,
  listSharedParts,
  type PromptPart,
} from "../protocol.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { CrashProbe, formatProcessKey } from "./crash_probe.ts";
import { fetchMissedEvidence } from "./evidence_catch_up.ts";
import { EvidenceDelivery, type EvidencePeers } from "./evidence_delivery.ts";

/** Options of a guard. */
export type CrashGuardOptions = {
  timers: TimerService;
  random: RandomSource;
  logger: Logger;
  metrics: GatewayMetrics;
  peers: EvidencePeers;
};

/** An attempt whose answer had begun and has ended. */
export type EndedAnswer = {
  upstream: Upstream;
  caller: CallerRequest;
  begun: BegunAnswer;
  /** Whether the answer came whole; otherwise the runner broke it off. */
  isWhole: boolean;
};

/** Finds the prompt parts that crash runners, together with other gateways. */
export class CrashGuard {
  readonly #options: CrashGuardOptions;
  readonly #quarantine: CrashQuarantine;
  readonly #probe: CrashProbe;
  readonly #delivery: EvidenceDelivery;
  /** Checks at the end of each quarantine that was logged, by part. */
  readonly #releases = new Map<string, TimerSubscription>();
  #isDisposed = false;

  private constructor(options: CrashGuardOptions) {
    const { logger, peers, random, timers } = options;
    this.#options = options;
    // Gateways admit such prompts again one after the other, so that the first
    // further crash reaches the others before they do.
    const quarantineMs = minQuarantineMs + random.getFloat() * extraMs;
    this.#quarantine = CrashQuarantine.create({ quarantineMs });
    this.#probe = CrashProbe.create(timers);
    this.#delivery = EvidenceDelivery.create({
      timers,
      logger,
      peers,
      selectEvidence: (selection) =>
        this.#quarantine.selectEvidence(selection, timers.nowMs()),
      onAnswer: (evidence) => this.#mergeAndForward(evidence),
    });
    void fetchMissedEvidence({
      ...options,
      onEvidence: (evidence) => this.#merge(evidence),
      isDisposed: () => this.#isDisposed,
    });
  }

  /** Creates a guard and fetches the evidence of other gateways. */
  static create(options: CrashGuardOptions): CrashGuard {
    return new CrashGuard(options);
  }

  /** Finds a quarantined part of a prompt. */
  findQuarantined(prompt: readonly PromptPart[]): QuarantinedPart | undefined {
    const nowMs = this.#options.timers.nowMs();
    return this.#quarantine.find(listPartIds(prompt), nowMs);
  }

  /** Learns from the end of an answer whether its prompt crashed the runner. */
  observeEnd(ended: EndedAnswer): void {
    const { begun, caller, isWhole } = ended;
    const partIds = listPartIds(caller.prompt);
    if (partIds.length === 0) return;
    const begunForMs = this.#options.timers.nowMs() - begun.atMs;
    // An answer without framing looks whole when its runner crashes.
    if (isWhole && begun.isFramed) this.#recordAnswer(partIds);
    else if (isWhole || begunForMs <= maxBegunMs) {
      void this.#checkCrash(ended, { partIds, begunForMs });
    }
  }

  /** Merges the evidence of a gateway; returns which parts are sound here. */
  merge(evidence: Evidence): Evidence {
    this.#merge(evidence);
    const partIds = evidence.crashes.flatMap((crash) => crash.partIds);
    return this.#quarantine.selectEvidence(
      { crashes: [], partIds: new Set(partIds) },
      this.#options.timers.nowMs(),
    );
  }

  /** Gets all evidence, for a gateway that has started. */
  getEvidence(): Evidence {
    return this.#quarantine.getEvidence(this.#options.timers.nowMs());
  }

  /** State as written to a dump. */
  getSnapshot() {
    const nowMs = this.#options.timers.nowMs();
    return {
      parts: this.#quarantine.listQuarantined(nowMs),
      crashes: this.#quarantine.getEvidence(nowMs).crashes.length,
      pendingGateways: this.#delivery.pendingGateways,
    };
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    this.#delivery[Symbol.dispose]();
    for (const release of this.#releases.values()) release[Symbol.dispose]();
    this.#releases.clear();
  }

  #recordAnswer(partIds: readonly string[]): void {
    const nowMs = this.#options.timers.nowMs();
    const cleared = this.#quarantine.recordAnswer(partIds, nowMs);
    if (cleared.length === 0) return;
    this.#logChanges(cleared);
    this.#delivery.send({ crashes: [], partIds: cleared });
  }

  /** Records a crash if the runner's process is gone. */
  async #checkCrash(
    { caller, isWhole, upstream }: EndedAnswer,
    { begunForMs, partIds }: { begunForMs: number; partIds: string[] },
  ): Promise<void> {
    const { logger, timers } = this.#options;
    const atMs = timers.nowMs();
    const suspects = this.#quarantine.listSuspects(partIds, atMs);
    if (suspects.length === 0) return;
    const process = formatProcessKey(upstream.record);
    const state = await this.#probe.probe(upstream);
    if (isWhole && state === "alive") {
      this.#recordAnswer(partIds);
      return;
    }
    if (begunForMs > maxBegunMs) return;
    logger.info("runner-crash-suspected", {
      runner: upstream.id,
      attemptId: caller.attemptId,
      begunForMs: Math.round(begunForMs),
      process: state,
      suspects: suspects.join(" "),
    });
    // After a whole answer, the process may have ended for another reason.
    if (state !== "gone" && (isWhole || state !== "goneSince")) return;
    const request = caller.attemptId.slice(0, maxIdLength);
    this.#recordCrash({ process, request, partIds: suspects, atMs });
  }

  #recordCrash(crash: Crash): void {
    const { metrics, timers } = this.#options;
    if (!this.#quarantine.recordCrash(crash, timers.nowMs())) return;
    metrics.countRunnerCrash();
    this.#logChanges(crash.partIds);
    this.#delivery.send({ crashes: [crash], partIds: crash.partIds });
  }

  #merge(evidence: Evidence): string[] {
    const nowMs = this.#options.timers.nowMs();
    const { clearedParts, crashes } = this.#quarantine.merge(evidence, nowMs);
    const partIds = crashes.flatMap((crash) => crash.partIds);
    this.#logChanges(new Set([...partIds, ...clearedParts]));
    return clearedParts;
  }

  /** Merges the answer of a gateway and tells the others of sound parts. */
  #mergeAndForward(evidence: Evidence): void {
    const partIds = this.#merge(evidence);
    if (partIds.length > 0) this.#delivery.send({ crashes: [], partIds });
  }

  /** Logs the parts whose quarantine has begun or ended. */
  #logChanges(changedParts: Iterable<string>): void {
    const { logger, metrics, timers } = this.#options;
    // A crash may also show that another part is not to blame.
    const partIds = new Set([...changedParts, ...this.#releases.keys()]);
    for (const partId of partIds) {
      const found = this.#quarantine.find([partId], timers.nowMs());
      const release = this.#releases.get(partId);
      if (found !== undefined && release === undefined) {
        const { leftMs, ...counts } = found;
        logger.warn("prompt-quarantined", { ...counts, durationMs: leftMs });
        metrics.countQuarantinedPrompt();
        this.#scheduleRelease(found);
      } else if (found === undefined && release !== undefined) {
        release[Symbol.dispose]();
        this.#releases.delete(partId);
        logger.info("prompt-released", { partId });
      }
    }
  }

  /** Checks the part again when its quarantine would end. */
  #scheduleRelease({ leftMs, partId }: QuarantinedPart): void {
    const release = this.#options.timers.schedule(leftMs, (nowMs) => {
      const found = this.#quarantine.find([partId], nowMs);
      if (found === undefined) this.#logChanges([partId]);
      else this.#scheduleRelease(found);
    });
    this.#releases.set(partId, release);
  }
}

/** Lists the ids of the shared parts of a prompt, within the limits. */
function listPartIds(prompt: readonly PromptPart[]): string[] {
  const ids = listSharedParts(prompt).map(({ id }) => id.slice(0, maxIdLength));
  return [...new Set(ids)].slice(0, maxPartCount);
}

/** Time after the beginning of an answer in which its prompt is suspected. */
const maxBegunMs = 2000;

/** Shortest time of a quarantine after the last crash. */
const minQuarantineMs = 300_000;

/** Time by which quarantines of different gateways may differ. */
const extraMs = 60_000;
