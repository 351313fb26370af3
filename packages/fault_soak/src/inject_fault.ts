/** Injects each kind of fault into a fleet under test and ends it. */
import { setTimeout } from "node:timers/promises";
import type { LinkDirection } from "@jasminetide/testing/fault_link";
import { coldMs, soakDomains } from "./failure_domains.ts";
import type { FaultKind, FaultSpan, PlannedFault } from "./fault_kinds.ts";
import type { Callers } from "./callers.ts";
import { injectCrashes } from "./inject_crashes.ts";
import type { SoakGateway } from "./fleet_gateway.ts";
import type { SoakRunner } from "./fleet_runner.ts";
import type { History } from "./history.ts";
import type { HostedLink } from "./link_host.ts";
import type { ManagedProcess } from "./managed_process.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import { failureMs, limitMs, restMs } from "./soak_runner.ts";
import type { StoreFault } from "./store_server.ts";

/** Fleet under test, its callers, and the history that records its faults. */
export type InjectOptions = {
  callers: Callers;
  fleet: SoakFleet;
  history: History;
};

const linkDelayMs = 60;
const storeLinkDelayMs = 300;
const peerLinkDelayMs = 300;

/** Injects a fault; settles when its effects have ended. */
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
    domain: soakDomains[target % soakDomains.length],
  });
  span.endMs = Date.now();
}

/** Targets of a fault and its duration. */
type FaultContext = InjectOptions & {
  gateway: SoakGateway;
  runner: SoakRunner;
  domain: string;
  durationMs: number;
};

const bothDirections: readonly LinkDirection[] = ["requests", "answers"];

/** Injector of each kind; settles when the effects of its fault have ended. */
const injectors: Record<
  FaultKind,
  (context: FaultContext) => Promise<void> | void
> = {
  "gateway-paused": (context) => pauseProcess(context.gateway.process, context),
  "gateway-killed": (context) => killGateway(context.gateway, context),
  "gateway-stopped": ({ fleet, gateway }) => {
    gateway.process.sendSignal("SIGTERM");
    return fleet.restartGateway(gateway);
  },
  "gateway-reloaded": reloadGateway,
  "all-killed": async (context) => {
    const { gateways } = context.fleet;
    await Promise.all(gateways.map((each) => killGateway(each, context)));
  },
  "caller-link-delayed": (context) =>
    delayLink(context.gateway.callerLink, linkDelayMs, context),
  "caller-link-reset": ({ gateway }) => gateway.callerLink.resetOpen(),
  "caller-link-silent": (context) =>
    silenceLink(context.gateway.callerLink, bothDirections, context),
  "caller-link-one-way": (context) =>
    silenceLink(context.gateway.callerLink, ["answers"], context),
  "store-link-delayed": (context) =>
    delayLink(context.gateway.storeLink, storeLinkDelayMs, context),
  "store-link-reset": ({ gateway }) => gateway.storeLink.resetOpen(),
  "store-link-silent": (context) =>
    silenceLink(context.gateway.storeLink, bothDirections, context),
  "peer-link-delayed": (context) =>
    delayLink(context.gateway.peerLink, peerLinkDelayMs, context),
  "peer-link-reset": ({ gateway }) => gateway.peerLink.resetOpen(),
  "peer-link-silent": (context) =>
    silenceLink(context.gateway.peerLink, bothDirections, context),
  "peer-link-one-way": (context) =>
    silenceLink(context.gateway.peerLink, ["answers"], context),
  "runner-paused": (context) => pauseProcess(context.runner.process, context),
  "runner-killed": ({ fleet, runner }) => {
    runner.process.sendSignal("SIGKILL");
    return fleet.restartRunner(runner);
  },
  "runner-leaving": drainRunner,
  "runner-link-delayed": (context) =>
    delayLink(context.runner.link, linkDelayMs, context),
  "runner-link-reset": ({ runner }) => runner.link.resetOpen(),
  "runner-link-silent": (context) =>
    silenceLink(context.runner.link, bothDirections, context),
  "runner-link-one-way": (context) =>
    silenceLink(context.runner.link, ["requests"], context),
  "store-down": (context) => disturbStore("down", context),
  "store-slow": (context) => disturbStore("slow", context),
  "store-limited": (context) => disturbStore("limited", context),
  "store-loses-answers": (context) => disturbStore("losesAnswers", context),
  "store-forgets": ({ fleet }) => fleet.store.objects.forgetHistory(),
  "declaration-changed": ({ fleet }) => fleet.putNextDeclaration(),
  "service-failing": failService,
  "store-restored": restoreStore,
  "runner-announcing": announceLeaving,
  "runner-resting": async ({ runner }) => {
    runner.process.sendSignal("SIGWINCH");
    await setTimeout(restMs);
  },
  "runner-silent": silenceRunner,
  "prompt-crashing": (context) =>
    injectCrashes({
      ...context,
      send: (durationMs) => context.callers.sendCrashingPrompts(durationMs),
    }),
  "request-crashing": (context) =>
    injectCrashes({
      ...context,
      send: (durationMs) => context.callers.sendCrashingRequest(durationMs),
    }),
  "domain-evacuated": ({ domain, durationMs, fleet }) =>
    fleet.evacuate(domain, durationMs),
  "runner-cold": async ({ fleet, runner }) => {
    runner.process.sendSignal("SIGKILL");
    await fleet.restartRunner(runner);
    await setTimeout(coldMs);
  },
  "gateway-rushed": rushGateway,
  "runner-limited": async ({ runner }) => {
    runner.process.sendSignal("SIGCHLD");
    await setTimeout(limitMs);
  },
};

/** Time in which a process that a signal has ended is seen to have exited. */
const signalMs = 1000;

/** Sends SIGHUP; a process that has just started may not listen to it yet. */
async function reloadGateway(
  { fleet, gateway }: FaultContext,
): Promise<void> {
  const { process } = gateway;
  process.sendSignal("SIGHUP");
  await setTimeout(signalMs);
  const isCurrent = gateway.process === process;
  if (isCurrent && !process.isRunning) await fleet.restartGateway(gateway);
}

/** Lets a runner send nothing for a time; its connections stay open. */
async function silenceRunner(
  { durationMs, runner: { process } }: FaultContext,
): Promise<void> {
  process.sendSignal("SIGURG");
  await setTimeout(durationMs);
  process.sendSignal("SIGCONT");
}

async function pauseProcess(
  process: ManagedProcess,
  { durationMs }: FaultContext,
): Promise<void> {
  process.sendSignal("SIGSTOP");
  await setTimeout(durationMs);
  process.sendSignal("SIGCONT");
}

async function killGateway(
  gateway: SoakGateway,
  { fleet }: FaultContext,
): Promise<void> {
  gateway.process.sendSignal("SIGKILL");
  await fleet.restartGateway(gateway);
}

/** Parts of a rush in which the gateway runs, and in which it does not. */
const rushRunMs = 8;
const rushPauseMs = 60;

/** Gives a gateway little processor time while callers rush to it. */
async function rushGateway(
  { callers, durationMs, gateway }: FaultContext,
): Promise<void> {
  const rush = callers.rush(gateway);
  const { process } = gateway;
  const endMs = Date.now() + durationMs;
  while (Date.now() < endMs) {
    process.sendSignal("SIGSTOP");
    await setTimeout(rushPauseMs);
    process.sendSignal("SIGCONT");
    await setTimeout(rushRunMs);
  }
  await rush;
  // Connections of the rush may still wait to be accepted before those of others.
  await callers.callOnNewConnection(gateway);
}

async function delayLink(
  link: HostedLink,
  delayMs: number,
  { durationMs }: FaultContext,
): Promise<void> {
  await link.setDelay(delayMs);
  await setTimeout(durationMs);
  await link.setDelay(0);
}

async function silenceLink(
  link: HostedLink,
  directions: readonly LinkDirection[],
  { durationMs }: FaultContext,
): Promise<void> {
  await link.setSilentDirections(directions);
  await setTimeout(durationMs);
  await link.setSilentDirections([]);
}

/** Time from when a runner is marked as draining until it is killed. */
const drainMs = 4500;

async function drainRunner(
  { fleet, history, runner }: FaultContext,
): Promise<void> {
  const { id } = runner;
  fleet.putRunner(runner, { isDraining: true });
  history.drained.push({ runner: id, atMs: Date.now() });
  await setTimeout(drainMs);
  await replaceRunner(id, { fleet, runner });
}

/** Ends a runner that has left, unless another fault has restarted it. */
async function replaceRunner(
  id: string,
  { fleet, runner }: Pick<FaultContext, "fleet" | "runner">,
): Promise<void> {
  if (runner.id !== id) return;
  runner.process.sendSignal("SIGKILL");
  await fleet.restartRunner(runner);
}

/** Time from when a runner announces that it leaves until it is killed. */
const announcedMs = 5500;

/** Lets a runner state in its answers alone that it is about to leave. */
async function announceLeaving(
  { fleet, runner }: FaultContext,
): Promise<void> {
  const { id } = runner;
  runner.process.sendSignal("SIGHUP");
  await setTimeout(announcedMs);
  await replaceRunner(id, { fleet, runner });
}

/** Time after a restore by which operator and runners write again. */
const writeAgainMs = 700;

/** Restores the store from a copy that is as old as the fault is long. */
async function restoreStore(
  { durationMs, fleet }: FaultContext,
): Promise<void> {
  const restore = fleet.store.objects.copy();
  await setTimeout(durationMs);
  restore();
  await setTimeout(writeAgainMs);
  await fleet.writeAgain();
}

async function failService({ fleet, runner }: FaultContext): Promise<void> {
  for (const { process, service } of fleet.runners) {
    if (service === runner.service) process.sendSignal("SIGUSR2");
  }
  await setTimeout(failureMs);
}

async function disturbStore(
  fault: StoreFault,
  { durationMs, fleet }: FaultContext,
): Promise<void> {
  using _fault = fleet.store.startFault(fault);
  await setTimeout(durationMs);
}
