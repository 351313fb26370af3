import type { Buffer } from "node:buffer";
import type { ReportedLoad } from "@jasminetide/core/pools";
import type { RandomSource } from "@jasminetide/core/random";
import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { Directory, Upstream } from "../upstreams/mod.ts";
import { decodeReports, encodeReports } from "./report_codec.ts";

/** Options of the reports of loads. */
export type LoadReportsOptions = {
  timers: TimerService;
  random: RandomSource;
  directory: Directory;
  metrics: Pick<GatewayMetrics, "countLoadReports" | "countMalformedReport">;
  /** Gateways to which each report is sent. */
  fanout: number;
  /** Addresses for reports of the other gateways. */
  listPeers: () => readonly string[];
  /** Sends a datagram that may be lost. */
  send: (text: string, address: string) => void;
};

/** A load that a runner has reported to this gateway. */
type OwnReport = { upstream: Upstream; load: ReportedLoad; atMs: number };

/**
 * Tells a few other gateways what runners report of their load. In a large fleet
 * each gateway gets few answers, and its own view of a runner is seconds old.
 */
export class LoadReports {
  readonly #options: LoadReportsOptions;
  readonly #collected = new Map<string, OwnReport>();
  #timer: TimerSubscription | undefined;

  private constructor(options: LoadReportsOptions) {
    this.#options = options;
  }

  /** Creates the reports of a gateway that has received none. */
  static create(options: LoadReportsOptions): LoadReports {
    return new LoadReports(options);
  }

  /** Records what an answer to this gateway reports, and tells others soon. */
  observe(upstream: Upstream, load: ReportedLoad): void {
    const { fanout, timers } = this.#options;
    const atMs = timers.nowMs();
    upstream.load.observe(load, atMs);
    if (fanout === 0) return;
    this.#collected.set(upstream.id, { upstream, load, atMs });
    this.#timer ??= timers.schedule(collectMs, () => this.#flush());
  }

  /** Takes in a datagram of another gateway. */
  receive(bytes: Buffer): void {
    const { directory, metrics, timers } = this.#options;
    const reports = decodeReports(bytes);
    if (reports === undefined) {
      metrics.countMalformedReport();
      return;
    }
    metrics.countLoadReports(reports.length);
    const nowMs = timers.nowMs();
    for (const { ageMs, load, runnerId, startedAtMs } of reports) {
      const upstream = directory.find(runnerId);
      if (upstream?.record.startedAtMs !== startedAtMs) continue;
      upstream.load.observe(load, nowMs - ageMs);
    }
  }

  [Symbol.dispose](): void {
    this.#timer?.[Symbol.dispose]();
  }

  #flush(): void {
    this.#timer = undefined;
    const { fanout, listPeers, random, send, timers } = this.#options;
    const nowMs = timers.nowMs();
    const reports = [...this.#collected.values()].map((report) => ({
      runnerId: report.upstream.id,
      startedAtMs: report.upstream.record.startedAtMs,
      ageMs: nowMs - report.atMs,
      load: report.load,
    }));
    this.#collected.clear();
    const text = encodeReports(reports);
    for (const address of drawPeers(listPeers(), { fanout, random })) {
      send(text, address);
    }
  }
}

/** Draws some peers at random, all if they are few. */
function drawPeers(
  peers: readonly string[],
  { fanout, random }: { fanout: number; random: RandomSource },
): readonly string[] {
  if (peers.length <= fanout) return peers;
  const drawn = new Set<string>();
  while (drawn.size < fanout) {
    drawn.add(peers[random.getInteger(peers.length)]);
  }
  return [...drawn];
}

/** Time for which reports are collected before they are sent together. */
const collectMs = 20;
