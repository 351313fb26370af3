import { setTimeout } from "node:timers/promises";
import type { FaultLink, LinkSide } from "@jasminetide/testing/fault_link";
import type { FaultKind, FaultSpan, PlannedFault } from "./faults.ts";
import type { History } from "./history.ts";
import type { ManagedProcess } from "./managed_process.ts";
import type { SoakFleet, SoakGateway, SoakRunner } from "./soak_fleet.ts";
import { failureMs } from "./soak_runner.ts";
import type { StoreTrouble } from "./store_server.ts";

/** What a fault strikes. */
export type InjectOptions = { fleet: SoakFleet; history: History };

const linkDelayMs = 60;
const storeLinkDelayMs = 300;

/** Lets a fault take effect; settles when its effects are undone. */
export async function injectFault(
  fault: PlannedFault,
  options: InjectOptions,
): Promise<void> {
  const { fleet, history } = options;
  const { durationMs, kind, target } = fault;
  const span: FaultSpan = { ...fault, startMs: Date.now(), endMs: Infinity };
  history.faults.push(span);
  await injectors[kind]({
    ...options,
    durationMs,
    gateway: fleet.gateways[target % fleet.gateways.length],
    runner: fleet.runners[target % fleet.runners.length],
  });
  span.endMs = Date.now();
}

/** What a fault strikes, and for how long. */
type Strike = InjectOptions & {
  gateway: SoakGateway;
  runner: SoakRunner;
  durationMs: number;
};

const bothSides: readonly LinkSide[] = ["requests", "answers"];

/** Each settles when the effects of its fault are undone. */
const injectors: Record<FaultKind, (strike: Strike) => Promise<void> | void> = {
  "gateway-paused": (strike) => pauseProcess(strike.gateway.process, strike),
  "gateway-killed": (strike) => killGateway(strike.gateway, strike),
  "gateway-stopped": ({ fleet, gateway }) => {
    gateway.process.sendSignal("SIGTERM");
    return fleet.restartGateway(gateway);
  },
  "gateway-reloaded": ({ gateway }) => gateway.process.sendSignal("SIGHUP"),
  "all-killed": async (strike) => {
    const { gateways } = strike.fleet;
    await Promise.all(gateways.map((each) => killGateway(each, strike)));
  },
  "caller-link-delayed": (strike) =>
    delayLink(strike.gateway.callerLink, linkDelayMs, strike),
  "caller-link-reset": ({ gateway }) => gateway.callerLink.resetOpen(),
  "caller-link-silent": (strike) =>
    silenceLink(strike.gateway.callerLink, bothSides, strike),
  "caller-link-one-way": (strike) =>
    silenceLink(strike.gateway.callerLink, ["answers"], strike),
  "store-link-delayed": (strike) =>
    delayLink(strike.gateway.storeLink, storeLinkDelayMs, strike),
  "store-link-reset": ({ gateway }) => gateway.storeLink.resetOpen(),
  "store-link-silent": (strike) =>
    silenceLink(strike.gateway.storeLink, bothSides, strike),
  "runner-paused": (strike) => pauseProcess(strike.runner.process, strike),
  "runner-killed": ({ fleet, runner }) => {
    runner.process.sendSignal("SIGKILL");
    return fleet.restartRunner(runner);
  },
  "runner-leaving": drainRunner,
  "runner-link-delayed": (strike) =>
    delayLink(strike.runner.link, linkDelayMs, strike),
  "runner-link-reset": ({ runner }) => runner.link.resetOpen(),
  "runner-link-silent": (strike) =>
    silenceLink(strike.runner.link, bothSides, strike),
  "runner-link-one-way": (strike) =>
    silenceLink(strike.runner.link, ["requests"], strike),
  "store-down": (strike) => troubleStore("down", strike),
  "store-slow": (strike) => troubleStore("slow", strike),
  "store-limited": (strike) => troubleStore("limited", strike),
  "store-loses-answers": (strike) => troubleStore("losesAnswers", strike),
  "store-forgets": ({ fleet }) => fleet.store.objects.forgetHistory(),
  "declaration-changed": ({ fleet }) => fleet.declareNext(),
  "service-failing": failService,
};

async function pauseProcess(
  process: ManagedProcess,
  { durationMs }: Strike,
): Promise<void> {
  process.sendSignal("SIGSTOP");
  await setTimeout(durationMs);
  process.sendSignal("SIGCONT");
}

async function killGateway(
  gateway: SoakGateway,
  { fleet }: Strike,
): Promise<void> {
  gateway.process.sendSignal("SIGKILL");
  await fleet.restartGateway(gateway);
}

async function delayLink(
  link: FaultLink,
  delayMs: number,
  { durationMs }: Strike,
): Promise<void> {
  link.setDelay(delayMs);
  await setTimeout(durationMs);
  link.setDelay(0);
}

async function silenceLink(
  link: FaultLink,
  sides: readonly LinkSide[],
  { durationMs }: Strike,
): Promise<void> {
  link.setSilentSides(sides);
  await setTimeout(durationMs);
  link.setSilentSides([]);
}

/** Time from a runner's announcement to its end. */
const drainMs = 4500;

async function drainRunner(
  { fleet, history, runner }: Strike,
): Promise<void> {
  const { id, process } = runner;
  fleet.putRunner(runner, { isDraining: true });
  history.drained.push({ runner: id, atMs: Date.now() });
  await setTimeout(drainMs);
  // Another fault may have ended it before.
  if (runner.id !== id) return;
  process.sendSignal("SIGKILL");
  await fleet.restartRunner(runner);
}

async function failService({ fleet, runner }: Strike): Promise<void> {
  for (const { process, service } of fleet.runners) {
    if (service === runner.service) process.sendSignal("SIGUSR2");
  }
  await setTimeout(failureMs);
}

async function troubleStore(
  trouble: StoreTrouble,
  { durationMs, fleet }: Strike,
): Promise<void> {
  using _trouble = fleet.store.begin(trouble);
  await setTimeout(durationMs);
}
