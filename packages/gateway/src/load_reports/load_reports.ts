import type { ReportedLoad } from "@jasminetide/core/pools";
import type { RandomSource } from "@jasminetide/core/random";
import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";
import {
  type DatagramMessage,
  getProcessTag,
  type LoadReport,
} from "../datagrams/mod.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { Directory, Upstream } from "../upstreams/mod.ts";

/** Options of the reports of loads. */
export type LoadReportsOptions = {
  timers: TimerService;
  random: RandomSource;
  directory: Directory;
  metrics: Pick<GatewayMetrics, "countLoadReports">;
  /** Gateways to which each report is sent; none are sent if it is 0. */
  fanout: number;
  /** The other gateways. */
  listPeers: () => readonly { address: string }[];
  /** Sends a message that may be lost. */
  send: (message: DatagramMessage, address: string) => void;
};

/** A load that a runner reported at a time, to this gateway or another one. */
type KnownReport = { upstream: Upstream; load: ReportedLoad; atMs: number };

/**
 * Tells a few other gateways what runners report of their load, and what others
 * have told this one lately. In a large fleet each gateway gets few answers, and
 * its own view of a runner is seconds old.
 */
export class LoadReports {
  readonly #options: LoadReportsOptions;
  /** Reports of this gateway that no other one has been told. */
  #collected = new Map<string, KnownReport>();
  /** Last reports of others by runner, the latest last. */
  readonly #heard = new Map<string, KnownReport>();
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
    const { fanout, listPeers, timers } = this.#options;
    const atMs = timers.nowMs();
    upstream.load.observe(load, atMs);
    if (fanout === 0 || listPeers().length < minPeers) return;
    this.#heard.delete(upstream.id);
    this.#collected.set(upstream.id, { upstream, load, atMs });
    this.#timer ??= timers.schedule(collectMs, () => this.#flush());
  }

  /** Takes in what another gateway tells. */
  receive(reports: readonly LoadReport[]): void {
    const { metrics, timers } = this.#options;
    metrics.countLoadReports(reports.length);
    const nowMs = timers.nowMs();
    for (const report of reports) this.#receiveReport(report, nowMs);
  }

  [Symbol.dispose](): void {
    this.#timer?.[Symbol.dispose]();
  }

  #receiveReport(
    { ageMs, load, processTag, runnerHash }: LoadReport,
    nowMs: number,
  ): void {
    const upstream = this.#options.directory.findByHash(runnerHash);
    if (upstream === undefined) return;
    if (getProcessTag(upstream.record.startedAtMs) !== processTag) return;
    const atMs = nowMs - ageMs;
    if (atMs <= upstream.load.reportedAtMs) return;
    upstream.load.observe(load, atMs);
    this.#heard.delete(upstream.id);
    this.#heard.set(upstream.id, { upstream, load, atMs });
    if (this.#heard.size <= maxRelayed) return;
    const [earliest] = this.#heard.keys();
    this.#heard.delete(earliest);
  }

  #flush(): void {
    this.#timer = undefined;
    const { fanout, listPeers, random, send, timers } = this.#options;
    const nowMs = timers.nowMs();
    const heard = [...this.#heard.values()]
      .filter(({ atMs }) => nowMs - atMs < maxRelayAgeMs);
    const reports = [...this.#collected.values(), ...heard]
      .map((report) => describeReport(report, nowMs));
    this.#collected = new Map();
    for (const { address } of drawPeers(listPeers(), { fanout, random })) {
      send({ type: "loads", reports }, address);
    }
  }
}

function describeReport(
  { atMs, load, upstream: { idHash, record } }: KnownReport,
  nowMs: number,
): LoadReport {
  return {
    runnerHash: idHash,
    processTag: getProcessTag(record.startedAtMs),
    ageMs: nowMs - atMs,
    load,
  };
}

/** Draws some peers at random, all if they are few. */
function drawPeers<Peer>(
  peers: readonly Peer[],
  { fanout, random }: { fanout: number; random: RandomSource },
): Iterable<Peer> {
  if (peers.length <= fanout) return peers;
  const drawn = new Set<Peer>();
  while (drawn.size < fanout) {
    drawn.add(peers[random.getInteger(peers.length)]);
  }
  return drawn;
}

/**
 * Peers from which reports are sent. In a smaller fleet each gateway gets enough
 * answers of its own.
 */
const minPeers = 7;

/** Time for which reports are collected before they are sent together. */
const collectMs = 100;

/** Reports of others that are sent on with each datagram. */
const maxRelayed = 12;

/** Age from which a report of another gateway is not sent on. */
const maxRelayAgeMs = 700;
