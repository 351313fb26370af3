import {
  type Crash,
  CrashQuarantine,
  type Evidence,
  type EvidenceNews,
  isRequestKey,
  type QuarantinedPart,
} from "@jasminetide/core/quarantine";
import type { KnownRouters } from "@jasminetide/core/hashing";
import type { RandomSource } from "@jasminetide/core/random";
import { type TimerService, wait } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import { maxIdLength } from "../peers/evidence_schema.ts";
import type { BegunAnswer } from "../protocol.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { chooseCollectors } from "./choose_collectors.ts";
import { CrashProbe, formatProcessKey } from "./crash_probe.ts";
import { fetchMissedEvidence } from "./evidence_catch_up.ts";
import { EvidenceDelivery, type EvidencePeers } from "./evidence_delivery.ts";
import { QuarantineLog } from "./quarantine_log.ts";
import { RequestTrials } from "./request_trials.ts";
import { listSuspectIds, type SuspectRequest } from "./suspect_request.ts";

/** Options of a guard. */
export type CrashGuardOptions = {
  timers: TimerService;
  random: RandomSource;
  logger: Logger;
  metrics: GatewayMetrics;
  peers: EvidencePeers;
  /** All gateways. */
  getKnownRouters: () => KnownRouters;
};

/** An attempt that has ended. */
export type EndedAttempt = SuspectRequest & {
  upstream: Upstream;
  /** The answer, if a successful one had begun. */
  begun: BegunAnswer | undefined;
  /** Whether the answer came whole; otherwise the runner broke it off. */
  isWhole: boolean;
};

/**
 * Finds the requests and prompt parts that crash runners, together with other
 * gateways.
 */
export class CrashGuard {
  readonly #options: CrashGuardOptions;
  readonly #quarantine: CrashQuarantine;
  readonly #trials: RequestTrials;
  readonly #probe: CrashProbe;
  readonly #delivery: EvidenceDelivery;
  readonly #log: QuarantineLog;
  #isDisposed = false;

  private constructor(options: CrashGuardOptions) {
    const { logger, peers, random, timers } = options;
    this.#options = options;
    // Gateways admit such prompts again one after the other, so that the first
    // further crash reaches the others before they do.
    const quarantineMs = minQuarantineMs + random.getFloat() * extraMs;
    this.#quarantine = CrashQuarantine.create({ quarantineMs });
    this.#trials = RequestTrials.create({
      ...options,
      quarantine: this.#quarantine,
    });
    this.#log = QuarantineLog.create({
      ...options,
      quarantine: this.#quarantine,
    });
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

  /** Finds out whether a request or a part of its prompt is quarantined. */
  findQuarantined(suspect: SuspectRequest): QuarantinedPart | undefined {
    const nowMs = this.#options.timers.nowMs();
    return this.#quarantine.find(listSuspectIds(suspect), nowMs);
  }

  /** Trials by which quarantined requests may be found sound. */
  get trials(): RequestTrials {
    return this.#trials;
  }

  /** Learns from the end of an attempt whether it crashed the runner. */
  observeEnd(ended: EndedAttempt): void {
    const { begun, isWhole, requestKey } = ended;
    if (begun === undefined) {
      if (!isWhole) void this.#checkCrash(ended, { partIds: [requestKey] });
      return;
    }
    const partIds = listSuspectIds(ended);
    const begunForMs = this.#options.timers.nowMs() - begun.atMs;
    // An answer without framing looks whole when its runner crashes.
    if (isWhole && begun.isFramed) this.#recordAnswer(partIds);
    else if (isWhole || begunForMs <= maxBegunMs) {
      void this.#checkCrash(ended, { partIds, begunForMs });
    }
  }

  /** Merges the evidence of a gateway; returns which parts are sound here. */
  merge(evidence: Evidence): Evidence {
    const isNews = this.#merge(evidence).crashes.length > 0;
    if (isNews) this.#tellOfSuspects(evidence);
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
    const { crashes } = this.#quarantine.getEvidence(nowMs);
    return {
      parts: this.#quarantine.listQuarantined(nowMs),
      crashes: crashes.length,
      /** Those under requests that were sent on trial. */
      trialCrashes:
        crashes.filter(({ triedPartIds = [] }) => triedPartIds.length > 0)
          .length,
      pendingGateways: this.#delivery.pendingGateways,
    };
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    this.#delivery[Symbol.dispose]();
    this.#log[Symbol.dispose]();
  }

  #recordAnswer(partIds: readonly string[]): void {
    const nowMs = this.#options.timers.nowMs();
    const cleared = this.#quarantine.recordAnswer(partIds, nowMs);
    if (cleared.length === 0) return;
    this.#trials.forget(cleared);
    this.#log.update(cleared);
    this.#delivery.send({ crashes: [], partIds: cleared });
  }

  /** Records a crash if the runner's process is gone. */
  async #checkCrash(
    { caller, isWhole, triedPartIds, upstream }: EndedAttempt,
    { begunForMs, partIds }: { begunForMs?: number; partIds: string[] },
  ): Promise<void> {
    const { logger, timers } = this.#options;
    const atMs = timers.nowMs();
    const process = formatProcessKey(upstream.record);
    const suspects = this.#quarantine.listSuspects(partIds, atMs);
    if (suspects.length === 0) return;
    const state = await this.#probe.probe(upstream);
    if (isWhole && state === "alive") this.#recordAnswer(partIds);
    if (state === "alive" || (begunForMs ?? 0) > maxBegunMs) return;
    logger.info("runner-crash-suspected", {
      runner: upstream.id,
      attemptId: caller.attemptId,
      begunForMs: begunForMs === undefined ? undefined : Math.round(begunForMs),
      process: state,
      suspects: suspects.join(" "),
    });
    const isCrash = state === "gone" || (state === "goneSince" &&
      (!isWhole || await this.#hasBrokenOff(process, atMs)));
    if (!isCrash) return;
    const request = caller.attemptId.slice(0, maxIdLength);
    this.#recordCrash({
      process,
      request,
      partIds: suspects,
      triedPartIds,
      atMs,
    });
  }

  /**
   * Whether a process broke off other answers when one ended that seemed whole;
   * otherwise it may have ended later.
   */
  async #hasBrokenOff(process: string, atMs: number): Promise<boolean> {
    await wait(this.#options.timers, crashNewsMs);
    return this.#quarantine.hasCrashAt(process, atMs);
  }

  #recordCrash(crash: Crash): void {
    const { metrics, timers } = this.#options;
    if (!this.#quarantine.recordCrash(crash, timers.nowMs())) return;
    metrics.countRunnerCrash();
    this.#log.update(crash.partIds);
    this.#tellOfCrash(crash);
  }

  /**
   * Tells all gateways of a crash under a suspected prompt part or request. A
   * crash that speaks against one request alone, as most do, is told only to
   * those that collect the crashes under it.
   */
  #tellOfCrash(crash: Crash): void {
    const { peers, timers } = this.#options;
    const nowMs = timers.nowMs();
    const requestKey = crash.partIds.find(isRequestKey);
    const isForAll = crash.partIds.some((partId) =>
      !isRequestKey(partId) || this.#quarantine.isSuspected(partId, nowMs)
    );
    if (requestKey === undefined || isForAll) {
      const crashes = requestKey === undefined
        ? [crash]
        : [crash, ...this.#quarantine.listCrashes(requestKey, nowMs)];
      this.#delivery.send({ crashes, partIds: crash.partIds });
      return;
    }
    const collectors = chooseCollectors(requestKey, peers.list());
    const selection = { crashes: [crash], partIds: crash.partIds };
    this.#delivery.send(selection, collectors);
  }

  /** Tells all gateways of requests whose single crashes have met here. */
  #tellOfSuspects(received: Evidence): void {
    const nowMs = this.#options.timers.nowMs();
    const partIds = received.crashes.flatMap((crash) => crash.partIds);
    for (const requestKey of new Set(partIds.filter(isRequestKey))) {
      const processes = received.crashes
        .filter((crash) => crash.partIds.includes(requestKey))
        .map(({ process }) => process);
      // The sender of several has told all gateways itself.
      if (new Set(processes).size > 1) continue;
      if (!this.#quarantine.isSuspected(requestKey, nowMs)) continue;
      const crashes = this.#quarantine.listCrashes(requestKey, nowMs);
      this.#delivery.send({ crashes, partIds: [requestKey] });
    }
  }

  #merge(evidence: Evidence): EvidenceNews {
    const nowMs = this.#options.timers.nowMs();
    const news = this.#quarantine.merge(evidence, nowMs);
    const partIds = news.crashes.flatMap((crash) => crash.partIds);
    this.#trials.forget(news.clearedParts);
    this.#log.update(new Set([...partIds, ...news.clearedParts]));
    return news;
  }

  /** Merges the answer of a gateway and tells the others of sound parts. */
  #mergeAndForward(evidence: Evidence): void {
    const { clearedParts: partIds } = this.#merge(evidence);
    if (partIds.length > 0) this.#delivery.send({ crashes: [], partIds });
  }
}

/** Time after the beginning of an answer in which its prompt is suspected. */
const maxBegunMs = 2000;

/** Time in which the crash of a process is known at all gateways that saw it. */
const crashNewsMs = 100;

/** Shortest time of a quarantine after the last crash. */
const minQuarantineMs = 300_000;

/** Time by which quarantines of different gateways may differ. */
const extraMs = 60_000;
