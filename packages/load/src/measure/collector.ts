import { build } from "hdr-histogram-js";
import type { DispatchedWork } from "@jasminetide/core/routing";
import { isSurge, type Turn } from "./traffic.ts";
import { loadBounds, type Scenario, surgingWorkspace } from "./scenario.ts";
import type { SidecarNode } from "./sidecar_node.ts";

/** A turn that a sidecar has admitted. */
export type AdmissionRecord = {
  turn: Turn;
  nowMs: number;
  cachedTokens: number;
  work: DispatchedWork;
  sidecar: SidecarNode;
};

/** Figures of one policy. */
export type PolicyFigures = {
  /** Share of the prompt tokens that were cached. */
  reuse: number;
  /** 99th percentile over seconds of the highest load over the mean load. */
  skewP99: number;
  skewMax: number;
  /** Admissions that exceeded the cap by the true mean load at that moment. */
  capViolations: number;
  busiestMinuteTokens: number;
  controlBytesPerSecondPerRouter: number;
  ttftP95Ms: number;
  /**
   * 95th percentile during the surge of the time to the first token in the
   * workspaces that do not surge.
   */
  surgeOthersTtftP95Ms: number;
  /** Deferrable turns that ended after their deadline. */
  missedDeadlines: number;
  /** Turns that no runner admitted before their deadline. */
  unserved: number;
  /** Waits of turns that every runner refused. */
  waits: number;
  /** Attempts that a sidecar refused. */
  refused: number;
  /** Attempts that a sidecar redirected to the holder of the cache. */
  redirected: number;
  requests: number;
};

/** Figures of one minute, for plots. */
export type MinuteFigures = { minute: number; reuse: number; skewMax: number };

/** Bytes of a load record in a digest, with its share of the packet header. */
export const recordBytes = 32;

/** Bytes of a refusal after which a router makes another attempt. */
const refusalBytes = 240;

/** Mean requests per runner below which a second does not count for skew. */
const minRequestsForSkew = 8;

const sampleMs = 100;

const minuteMs = 60_000;

type Minute = { prompt: number; cached: number; skews: number[] };

/** Collects the figures of one policy over the measured part of a run. */
export class Collector {
  readonly #scenario: Scenario;
  readonly #nodes: readonly SidecarNode[];
  readonly #ttft = build({ numberOfSignificantValueDigits: 3 });
  readonly #surgeTtft = build({ numberOfSignificantValueDigits: 3 });
  readonly #computed: number[] = [];
  readonly #minutes: Minute[] = [];
  readonly #skews: number[] = [];
  #secondLoads = new Map<SidecarNode, { sum: number; samples: number }>();
  #secondRequests = 0;
  #controlBytes = 0;
  #counts = {
    cap: 0,
    missed: 0,
    unserved: 0,
    requests: 0,
    waits: 0,
    refused: 0,
    redirected: 0,
  };

  private constructor(scenario: Scenario, nodes: readonly SidecarNode[]) {
    this.#scenario = scenario;
    this.#nodes = nodes;
  }

  /** Creates a collector that samples the loads of sidecars. */
  static create(
    scenario: Scenario,
    nodes: readonly SidecarNode[],
  ): Collector {
    return new Collector(scenario, nodes);
  }

  /** Period at which the caller must call `sample`. */
  get samplePeriodMs(): number {
    return sampleMs;
  }

  /** Records an admission and checks it against the cap by the true mean. */
  recordAdmission(admission: AdmissionRecord): void {
    if (!this.#isMeasured(admission.nowMs)) return;
    const minute = this.#getMinute(admission.nowMs);
    minute.prompt += admission.turn.promptTokens;
    minute.cached += admission.cachedTokens;
    this.#counts.requests += 1;
    const active = this.#nodes.filter((node) => node.state === "active");
    const total = active.reduce((sum, node) => sum + node.loadTokens, 0);
    const boundTokens = Math.max(
      loadBounds.minimumTokens,
      loadBounds.capMultiple * total / active.length,
    );
    if (admission.sidecar.loadTokens > boundTokens) this.#counts.cap += 1;
  }

  /** Records tokens that an engine computed. */
  recordComputed(tokens: number, nowMs: number): void {
    if (!this.#isMeasured(nowMs)) return;
    const minute = this.#getMinuteIndex(nowMs);
    this.#computed[minute] = (this.#computed[minute] ?? 0) + tokens;
  }

  /** Records the first token of an answer. */
  recordFirstToken(turn: Turn, nowMs: number): void {
    if (!this.#isMeasured(turn.atMs) || turn.isDeferrable) return;
    const durationMs = Math.max(1, Math.round(nowMs - turn.atMs));
    this.#ttft.recordValue(durationMs);
    if (turn.workspace === surgingWorkspace) return;
    if (!isSurge(turn.atMs, { ...this.#scenario, hasSurge: true })) return;
    this.#surgeTtft.recordValue(durationMs);
  }

  /** Records the end of an answer; only deferrable turns count as late. */
  recordEnd(turn: Turn, nowMs: number): void {
    if (!turn.isDeferrable || !this.#isMeasured(nowMs)) return;
    if (nowMs > turn.deadlineAtMs) this.#counts.missed += 1;
  }

  /** Records that no runner admitted a turn before its deadline. */
  recordUnserved(nowMs: number): void {
    if (this.#isMeasured(nowMs)) this.#counts.unserved += 1;
  }

  /** Records that a turn waits after every runner refused it. */
  recordWait(nowMs: number): void {
    if (this.#isMeasured(nowMs)) this.#counts.waits += 1;
  }

  /** Records control traffic of one router. */
  recordControl(bytes: number, nowMs: number): void {
    if (this.#isMeasured(nowMs)) this.#controlBytes += bytes;
  }

  /** Records a refusal or redirection that a router received. */
  recordRefusal(type: "refused" | "redirected", nowMs: number): void {
    if (this.#isMeasured(nowMs)) this.#counts[type] += 1;
    this.recordControl(refusalBytes, nowMs);
  }

  /** Samples the loads. */
  sample(nowMs: number): void {
    if (!this.#isMeasured(nowMs)) return;
    for (const node of this.#nodes) {
      if (node.state !== "active") continue;
      const entry = this.#secondLoads.get(node) ?? { sum: 0, samples: 0 };
      entry.sum += node.loadTokens;
      entry.samples += 1;
      this.#secondLoads.set(node, entry);
      this.#secondRequests += node.engine.running;
    }
    if (nowMs % 1000 === 0) this.#closeSecond(nowMs);
  }

  /** Gets the figures of the whole run. */
  getFigures(): PolicyFigures {
    const skews = [...this.#skews].sort((left, right) => left - right);
    const seconds = this.#scenario.durationMs / 1000;
    const prompt = sum(this.#minutes.map((minute) => minute.prompt));
    const cached = sum(this.#minutes.map((minute) => minute.cached));
    return {
      reuse: cached / prompt,
      skewP99: skews[Math.floor(skews.length * 0.99)] ?? 0,
      skewMax: skews.at(-1) ?? 0,
      capViolations: this.#counts.cap,
      busiestMinuteTokens: Math.max(...this.#computed.map((n) => n ?? 0)),
      controlBytesPerSecondPerRouter: this.#controlBytes / seconds /
        this.#scenario.routers,
      ttftP95Ms: this.#ttft.getValueAtPercentile(95),
      surgeOthersTtftP95Ms: this.#surgeTtft.getValueAtPercentile(95),
      missedDeadlines: this.#counts.missed,
      unserved: this.#counts.unserved,
      waits: this.#counts.waits,
      refused: this.#counts.refused,
      redirected: this.#counts.redirected,
      requests: this.#counts.requests,
    };
  }

  /** Gets the figures of each minute. */
  getMinutes(): MinuteFigures[] {
    return this.#minutes.map((minute, index) => ({
      minute: index,
      reuse: minute.cached / Math.max(1, minute.prompt),
      skewMax: Math.max(1, ...minute.skews),
    }));
  }

  #closeSecond(nowMs: number): void {
    const samplesPerSecond = 1000 / sampleMs;
    const loads = [...this.#secondLoads.values()]
      .filter((entry) => entry.samples === samplesPerSecond)
      .map((entry) => entry.sum / entry.samples);
    const meanRequests = this.#secondRequests / samplesPerSecond / loads.length;
    this.#secondLoads = new Map();
    this.#secondRequests = 0;
    if (loads.length === 0 || meanRequests < minRequestsForSkew) return;
    const skew = Math.max(...loads) / (sum(loads) / loads.length);
    this.#skews.push(skew);
    this.#getMinute(nowMs).skews.push(skew);
  }

  #isMeasured(nowMs: number): boolean {
    return nowMs > this.#scenario.warmUpMs;
  }

  #getMinuteIndex(nowMs: number): number {
    return Math.floor((nowMs - this.#scenario.warmUpMs) / minuteMs);
  }

  #getMinute(nowMs: number): Minute {
    const index = this.#getMinuteIndex(nowMs);
    while (this.#minutes.length <= index) {
      this.#minutes.push({ prompt: 0, cached: 0, skews: [] });
    }
    return this.#minutes[index];
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
