import {
  createSeededRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import type { PoolView } from "@jasminetide/core/routing";
import { type Collector, recordBytes } from "./collector.ts";
import type { EventQueue } from "./event_queue.ts";
import type { RouterNode } from "./router_node.ts";
import { getRunnerName, type Scenario } from "./scenario.ts";
import type { SidecarNode } from "./sidecar_node.ts";

const digestPeriodMs = 1000;
const digestDelayMs = { smallest: 200, range: 2800 };
const digestLossShare = 0.05;

/**
 * Time from the start of a sidecar until its requests have arrived at all
 * members, for which it reads the host list.
 */
const startRequestMs = 150;

/** Bytes of such a request, with its headers. */
const startRequestBytes = 280;

/** Components of one experiment. */
export type Fleet = {
  events: EventQueue;
  scenario: Scenario;
  nodes: SidecarNode[];
  routers: RouterNode[];
  collector: Collector;
};

/** Adds a runner to a process's view of the pool. */
export function addRunner(
  pool: PoolView,
  options: { runner: number; scenario: Scenario; joinedAtMs: number },
): void {
  const { runner, scenario, joinedAtMs } = options;
  pool.add({
    id: getRunnerName(runner),
    failureDomain: `domain-${runner % scenario.failureDomains + 1}`,
    capacity: 1,
    loadTokens: 0,
    observedAtMs: joinedAtMs,
  }, { joinedAtMs, nowMs: Math.max(0, joinedAtMs) });
}

/**
 * Sends each sidecar's load to all other processes, with delay and loss. One
 * that starts asks each of them for its record and tells its own with it.
 */
export function startDigests(fleet: Fleet): void {
  const { events, nodes, scenario } = fleet;
  const random = createSeededRandom(scenario.seed + 2);
  const startRandom = createSeededRandom(scenario.seed + 3);
  for (const node of nodes) {
    const send = (nowMs: number) => sendDigest({ node, nowMs, random }, fleet);
    events.subscribe(digestPeriodMs, send);
    events.subscribe(digestPeriodMs, () => node.announceChats());
    node.subscribe((nowMs) => {
      send(nowMs);
      sendStartRequests({ node, nowMs, random: startRandom }, fleet);
    });
  }
}

function sendDigest(
  digest: { node: SidecarNode; nowMs: number; random: RandomSource },
  fleet: Fleet,
): void {
  const { node, nowMs, random } = digest;
  const { events, nodes, routers, collector } = fleet;
  if (node.state === "down") return;
  const record = createRecord(node, nowMs);
  collector.recordControl(recordBytes * routers.length, nowMs);
  for (const process of [...routers, ...nodes]) {
    if (process === node || random.getFloat() < digestLossShare) continue;
    const delayMs = digestDelayMs.smallest +
      random.getFloat() * digestDelayMs.range;
    events.schedule(nowMs + delayMs, () => {
      applyRecord(record, { runner: nodes.indexOf(node), process, fleet });
    });
  }
}

function sendStartRequests(
  start: { node: SidecarNode; nowMs: number; random: RandomSource },
  fleet: Fleet,
): void {
  const { node, nowMs, random } = start;
  const { events, nodes, routers, collector } = fleet;
  const record = createRecord(node, nowMs);
  const runner = nodes.indexOf(node);
  collector.recordControl(startRequestBytes * routers.length, nowMs);
  for (const process of [...routers, ...nodes]) {
    if (process === node || random.getFloat() < digestLossShare) continue;
    events.schedule(nowMs + startRequestMs, () => {
      applyRecord(record, { runner, process, fleet });
    });
  }
}

function createRecord(node: SidecarNode, nowMs: number): DigestRecord {
  return {
    loadTokens: node.loadTokens,
    observedAtMs: nowMs,
    joinedAtMs: node.startedAtMs,
    isLeaving: node.state === "leaving",
  };
}

type DigestRecord = {
  loadTokens: number;
  observedAtMs: number;
  /** Start of the sidecar, which the epoch contains. */
  joinedAtMs: number;
  isLeaving: boolean;
};

/** Applies a record; a record of a new epoch adds the runner to the pool. */
function applyRecord(
  record: DigestRecord,
  options: {
    runner: number;
    process: RouterNode | SidecarNode;
    fleet: Fleet;
  },
): void {
  const { process, runner, fleet: { scenario } } = options;
  const { pool } = process;
  const id = getRunnerName(runner);
  const { joinedAtMs, observedAtMs } = record;
  if (record.isLeaving) {
    pool.remove(id, { isLost: false, nowMs: observedAtMs });
    return;
  }
  if (pool.get(id) === undefined && !pool.hasLeft(id, joinedAtMs)) {
    addRunner(pool, { runner, scenario, joinedAtMs });
  }
  pool.observeLoad(id, record);
}
