import { setTimeout } from "node:timers/promises";
import type { FaultLink, LinkSide } from "@jasminetide/testing/fault_link";
import type { FaultSpan, PlannedFault } from "./faults.ts";
import type { History } from "./history.ts";
import type { SoakFleet, SoakGateway, SoakRunner } from "./soak_fleet.ts";
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
  const { history } = options;
  const startMs = Date.now();
  const span: FaultSpan = { ...fault, startMs, endMs: Infinity };
  history.faults.push(span);
  await applyFault(fault, options);
  span.endMs = Date.now();
}

async function applyFault(
  fault: PlannedFault,
  options: InjectOptions,
): Promise<void> {
  const { fleet } = options;
  const { durationMs, kind, target } = fault;
  const gateway = fleet.gateways[target % fleet.gateways.length];
  const runner = fleet.runners[target % fleet.runners.length];
  switch (kind) {
    case "gateway-paused":
      return await pauseProcess(gateway.process, durationMs);
    case "gateway-killed":
      return await killGateway(gateway, options);
    case "gateway-stopped":
      gateway.process.sendSignal("SIGTERM");
      return await fleet.restartGateway(gateway);
    case "gateway-reloaded":
      return gateway.process.sendSignal("SIGHUP");
    case "all-killed":
      await Promise.all(
        fleet.gateways.map((each) => killGateway(each, options)),
      );
      return;
    case "caller-link-delayed":
      return await delayLink(gateway.callerLink, linkDelayMs, durationMs);
    case "caller-link-reset":
      return gateway.callerLink.resetOpen();
    case "caller-link-silent":
      return await silenceLink(gateway.callerLink, bothSides, durationMs);
    case "caller-link-one-way":
      return await silenceLink(gateway.callerLink, ["answers"], durationMs);
    case "store-link-delayed":
      return await delayLink(gateway.storeLink, storeLinkDelayMs, durationMs);
    case "store-link-reset":
      return gateway.storeLink.resetOpen();
    case "store-link-silent":
      return await silenceLink(gateway.storeLink, bothSides, durationMs);
    case "runner-paused":
      return await pauseProcess(runner.process, durationMs);
    case "runner-killed":
      runner.process.sendSignal("SIGKILL");
      return await fleet.restartRunner(runner);
    case "runner-leaving":
      return await drainRunner(runner, options);
    case "runner-link-delayed":
      return await delayLink(runner.link, linkDelayMs, durationMs);
    case "runner-link-reset":
      return runner.link.resetOpen();
    case "runner-link-silent":
      return await silenceLink(runner.link, bothSides, durationMs);
    case "runner-link-one-way":
      return await silenceLink(runner.link, ["requests"], durationMs);
    case "store-down":
      return await troubleStore("down", fault, options);
    case "store-slow":
      return await troubleStore("slow", fault, options);
    case "store-limited":
      return await troubleStore("limited", fault, options);
    case "store-loses-answers":
      return await troubleStore("losesAnswers", fault, options);
    case "store-forgets":
      return fleet.store.objects.forgetHistory();
    case "declaration-changed":
      return fleet.declareNext();
  }
}

const bothSides: readonly LinkSide[] = ["requests", "answers"];

async function pauseProcess(
  process: SoakGateway["process"],
  durationMs: number,
): Promise<void> {
  process.sendSignal("SIGSTOP");
  await setTimeout(durationMs);
  process.sendSignal("SIGCONT");
}

async function killGateway(
  gateway: SoakGateway,
  { fleet }: InjectOptions,
): Promise<void> {
  gateway.process.sendSignal("SIGKILL");
  await fleet.restartGateway(gateway);
}

async function delayLink(
  link: FaultLink,
  delayMs: number,
  durationMs: number,
): Promise<void> {
  link.setDelay(delayMs);
  await setTimeout(durationMs);
  link.setDelay(0);
}

async function silenceLink(
  link: FaultLink,
  sides: readonly LinkSide[],
  durationMs: number,
): Promise<void> {
  link.setSilentSides(sides);
  await setTimeout(durationMs);
  link.setSilentSides([]);
}

/** Time from a runner's announcement to its end. */
const drainMs = 4500;

async function drainRunner(
  runner: SoakRunner,
  { fleet, history }: InjectOptions,
): Promise<void> {
  const { id, process } = runner;
  fleet.putRunner(runner, { isDraining: true });
  history.drained.push({ runner: id, atMs: Date.now() });
  await setTimeout(drainMs);
  process.sendSignal("SIGKILL");
  await fleet.restartRunner(runner);
}

async function troubleStore(
  trouble: StoreTrouble,
  { durationMs }: PlannedFault,
  { fleet }: InjectOptions,
): Promise<void> {
  using _trouble = fleet.store.begin(trouble);
  await setTimeout(durationMs);
}
