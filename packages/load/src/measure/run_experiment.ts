import { createSeededRandom } from "@jasminetide/core/random";
import { PoolView } from "@jasminetide/core/routing";
import {
  Collector,
  type MinuteFigures,
  type PolicyFigures,
} from "./collector.ts";
import { type ChurnEvent, createChurn } from "./churn.ts";
import { addRunner, type Fleet, startDigests } from "./digests.ts";
import { EventQueue } from "./event_queue.ts";
import {
  getMechanisms,
  type MechanismName,
  type Mechanisms,
  type PolicyName,
} from "./policies.ts";
import { RouterNode } from "./router_node.ts";
import { getRunnerName, productSettings, type Scenario } from "./scenario.ts";
import { SidecarNode } from "./sidecar_node.ts";
import { createTraffic, type Turn } from "./traffic.ts";

/** Policy of an experiment and the mechanism that is turned off. */
export type ExperimentOptions = {
  policy: PolicyName;
  without?: MechanismName | undefined;
};

/** Figures of one policy. */
export type ExperimentResult = {
  figures: PolicyFigures;
  minutes: MinuteFigures[];
};

const { rampUpMs, ...holdDown } = productSettings.membership;
/** Delays of the host lists, assigned to the processes in rotation. */
const listLagsMs = [500, 1000, 2000, 4000];
/** Time after which the host list shows that a runner has crashed. */
const crashDetectionMs = 1000;

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

/**
 * Schedules an event for its runner, and for the host list of each process
 * after the delay of that list.
 */
function scheduleChurn(event: ChurnEvent, fleet: Fleet): void {
  const { events, nodes, routers, scenario } = fleet;
  if (event.router !== undefined) {
    const { pool } = routers[event.router];
    events.schedule(event.atMs, () => applyToPool(event, { pool, scenario }));
    return;
  }
  events.schedule(event.atMs, (nowMs) => {
    applyToRunner(event, { node: nodes[event.runner], nowMs });
  });
  const detectionMs = event.type === "crashed" ? crashDetectionMs : 0;
  [...routers, ...nodes].forEach((process, index) => {
    const lagMs = listLagsMs[index % listLagsMs.length];
    events.schedule(event.atMs + detectionMs + lagMs, () => {
      applyToPool(event, { pool: process.pool, scenario });
    });
  });
}

function applyToRunner(
  event: ChurnEvent,
  options: { node: SidecarNode; nowMs: number },
): void {
  const { node, nowMs } = options;
  if (event.type === "started") node.start(nowMs);
  else if (event.type === "leaving") {
    node.state = "leaving";
    node.exportChats(nowMs);
  } else node.stop(nowMs);
}

function applyToPool(
  event: ChurnEvent,
  options: { pool: PoolView; scenario: Scenario },
): void {
  const { pool, scenario } = options;
  const { atMs, runner, type } = event;
  const id = getRunnerName(runner);
  if (type === "started") {
    addRunner(pool, { runner, scenario, joinedAtMs: atMs });
  } else if (type === "relisted") {
    addRunner(pool, { runner, scenario, joinedAtMs: 0 });
  } else pool.remove(id, { isLost: type === "crashed", nowMs: atMs });
}
