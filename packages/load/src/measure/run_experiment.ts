import {
  createSeededRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import { PoolView } from "@jasminetide/core/routing";
import {
  Collector,
  type MinuteFigures,
  type PolicyFigures,
  recordBytes,
} from "./collector.ts";
import { type ChurnEvent, createChurn } from "./churn.ts";
import { EventQueue } from "./event_queue.ts";
import {
  getMechanisms,
  type MechanismName,
  type Mechanisms,
  type PolicyName,
} from "./policies.ts";
import { RouterNode } from "./router_node.ts";
import { getRunnerName, type Scenario } from "./scenario.ts";
import { SidecarNode } from "./sidecar_node.ts";
import { createTraffic, type Turn } from "./traffic.ts";

/** What is measured. */
export type ExperimentOptions = {
  policy: PolicyName;
  without?: MechanismName | undefined;
};

/** Result of one policy. */
export type ExperimentResult = {
  figures: PolicyFigures;
  minutes: MinuteFigures[];
};

const rampUpMs = 2000;
const holdDown = { holdDownMs: 1000, maximumHoldDownMs: 4000 };
const digestPeriodMs = 1000;
const digestDelayMs = { smallest: 200, range: 2800 };
const digestLossShare = 0.05;
/** Lag of each router's list; the last stands for the sidecars. */
const listLagsMs = [500, 1000, 2000, 4000];
/** Time the host list takes to notice a runner that stopped unannounced. */
const lossNoticeMs = 1000;

/** Runs the traffic of a scenario through one policy. */
export function runExperiment(
  scenario: Scenario,
  options: ExperimentOptions,
): ExperimentResult {
  const events = EventQueue.create();
  const mechanisms = getMechanisms(options.policy, options.without);
  const sidecars = createSidecars(scenario, { events, mechanisms });
  const nodes = [...sidecars.values()];
  const collector = Collector.create(scenario, nodes);
  const routers = createRouters(scenario, {
    ...options,
    events,
    mechanisms,
    sidecars,
    collector,
  });
  const fleet = { events, scenario, nodes, routers, collector };
  for (const event of createChurn(scenario)) scheduleChurn(event, fleet);
  startDigests(fleet);
  events.subscribe(
    collector.samplePeriodMs,
    (nowMs) => collector.sample(nowMs),
  );
  for (const turn of createTraffic(scenario)) {
    events.schedule(turn.atMs, () => routers[turn.router].accept(turn));
  }
  events.advance(scenario.warmUpMs + scenario.durationMs);
  return { figures: collector.getFigures(), minutes: collector.getMinutes() };
}

type Fleet = {
  events: EventQueue;
  scenario: Scenario;
  nodes: SidecarNode[];
  routers: RouterNode[];
  collector: Collector;
};

function createSidecars(
  scenario: Scenario,
  options: { events: EventQueue; mechanisms: Mechanisms },
): Map<string, SidecarNode> {
  const sidecars = new Map<string, SidecarNode>();
  for (let index = 0; index < scenario.runners; index++) {
    const id = getRunnerName(index);
    sidecars.set(
      id,
      SidecarNode.create({
        ...options,
        id,
        pool: createPool(scenario, options.mechanisms),
        findPeer: (peer) => sidecars.get(peer),
      }),
    );
  }
  return sidecars;
}

function createRouters(
  scenario: Scenario,
  options: ExperimentOptions & {
    events: EventQueue;
    mechanisms: Mechanisms;
    sidecars: Map<string, SidecarNode>;
    collector: Collector;
  },
): RouterNode[] {
  const nodes = [...options.sidecars.values()];
  const oracle = (turn: Turn) =>
    nodes.filter((node) => node.state === "active").map((node) => ({
      id: node.id,
      loadTokens: node.loadTokens + node.incomingTokens,
      cachedTokens: node.engine.getCachedTokens(turn),
    }));
  return Array.from(
    { length: scenario.routers },
    (_, index) =>
      RouterNode.create({
        ...options,
        index,
        oracle,
        pool: createPool(scenario, options.mechanisms),
        random: createSeededRandom(scenario.seed + 100 + index),
        findSidecar: (id) => options.sidecars.get(id),
      }),
  );
}

function createPool(scenario: Scenario, mechanisms: Mechanisms): PoolView {
  const pool = PoolView.create({
    rampUpMs: mechanisms.rampUp ? rampUpMs : 0,
    ...(mechanisms.holdDown
      ? holdDown
      : { holdDownMs: 0, maximumHoldDownMs: 0 }),
  });
  for (let index = 0; index < scenario.runners; index++) {
    addRunner(pool, { runner: index, scenario, joinedAtMs: -rampUpMs });
  }
  return pool;
}

function addRunner(
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

/** Changes a runner now and every process's list after its own lag. */
function scheduleChurn(event: ChurnEvent, fleet: Fleet): void {
  const { events, nodes, routers, scenario } = fleet;
  if (event.router !== undefined) {
    const { pool } = routers[event.router];
    events.schedule(event.atMs, () => applyList(event, { pool, scenario }));
    return;
  }
  events.schedule(event.atMs, (nowMs) => {
    changeRunner(event, { node: nodes[event.runner], nowMs });
  });
  const noticeMs = event.type === "lost" ? lossNoticeMs : 0;
  [...routers, ...nodes].forEach((process, index) => {
    const lagMs = listLagsMs[index % listLagsMs.length];
    events.schedule(event.atMs + noticeMs + lagMs, () => {
      applyList(event, { pool: process.pool, scenario });
    });
  });
}

function changeRunner(
  event: ChurnEvent,
  options: { node: SidecarNode; nowMs: number },
): void {
  const { node, nowMs } = options;
  if (event.type === "back") node.start(nowMs);
  else if (event.type === "leaving") {
    node.state = "leaving";
    node.exportChats(nowMs);
  } else node.stop(nowMs);
}

function applyList(
  event: ChurnEvent,
  options: { pool: PoolView; scenario: Scenario },
): void {
  const { pool, scenario } = options;
  const { atMs, runner, type } = event;
  const id = getRunnerName(runner);
  if (type === "back") addRunner(pool, { runner, scenario, joinedAtMs: atMs });
  else if (type === "shown") {
    addRunner(pool, { runner, scenario, joinedAtMs: 0 });
  } else pool.remove(id, { isLost: type === "lost", nowMs: atMs });
}

/** Sends each sidecar's load to every other process, late and with losses. */
function startDigests(fleet: Fleet): void {
  const { events, nodes, scenario } = fleet;
  const random = createSeededRandom(scenario.seed + 2);
  for (const node of nodes) {
    const send = (nowMs: number) => sendDigest({ node, nowMs, random }, fleet);
    events.subscribe(digestPeriodMs, send);
    events.subscribe(digestPeriodMs, () => node.announceChats());
    node.subscribe(send);
  }
}

function sendDigest(
  digest: { node: SidecarNode; nowMs: number; random: RandomSource },
  fleet: Fleet,
): void {
  const { node, nowMs, random } = digest;
  const { events, nodes, routers, collector } = fleet;
  if (node.state === "down") return;
  const record = {
    loadTokens: node.loadTokens,
    observedAtMs: nowMs,
    joinedAtMs: node.startedAtMs,
    isLeaving: node.state === "leaving",
  };
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

type DigestRecord = {
  loadTokens: number;
  observedAtMs: number;
  /** Start of the sidecar, which its epoch tells. */
  joinedAtMs: number;
  isLeaving: boolean;
};

/** Takes in a record; one of a new epoch tells of a runner that has joined. */
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
