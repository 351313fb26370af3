import {
  AdmissionController,
  type MeanLoad,
} from "@jasminetide/core/admission";
import type { Match } from "@jasminetide/core/configuration";
import { createEpoch } from "@jasminetide/core/membership";
import { MinuteMeter, PeakGate, PeakHold } from "@jasminetide/core/peak";
import { createSystemRandom } from "@jasminetide/core/random";
import type { TimerService } from "@jasminetide/core/timers";
import {
  type ConfigurationFollower,
  ConfigurationHolder,
  EffectiveSettings,
} from "@jasminetide/runtime/configuration";
import { PeerClients } from "@jasminetide/runtime/control";
import type { Logger } from "@jasminetide/runtime/logging";
import type { Membership } from "@jasminetide/runtime/membership";
import { Metrics } from "@jasminetide/runtime/metrics";
import type { PeerCredentials } from "@jasminetide/runtime/tls";
import { Pool } from "undici";
import type { ChatLocator } from "./hints/mod.ts";
import type { Ledger } from "./ledger/mod.ts";
import type { OrderGate } from "./orders/mod.ts";
import { AttemptStore } from "./requests/mod.ts";
import type { SidecarSettings } from "./settings.ts";

/** What a sidecar is started with. */
export type SidecarOptions = {
  settings: SidecarSettings;
  timers: TimerService;
  logger: Logger;
};

/** The parts of a sidecar; those that need a listener come at its start. */
export type SidecarState = SidecarOptions & {
  credentials: PeerCredentials | undefined;
  metrics: Metrics;
  configuration: ConfigurationHolder;
  effective: EffectiveSettings;
  attempts: AttemptStore;
  admission: AdmissionController;
  peak: PeakGate;
  runner: Pool;
  peers: PeerClients;
  membership?: Membership;
  orders?: OrderGate;
  follower?: ConfigurationFollower;
  ledger?: Ledger;
  locator?: ChatLocator;
  isStopping: boolean;
};

/** How long it is known what became of an attempt. */
const attemptRetentionMs = 60_000;

/** How long a router may take to come back for an answer. */
const answerRetentionMs = 10_000;

/** Time after which an idempotent attempt that nobody reads is cancelled. */
const orphanMs = 5000;

const runnerConnections = 256;

/** Creates the parts that need no listener. */
export function createState(
  options: SidecarOptions,
  credentials: PeerCredentials | undefined,
): SidecarState {
  const { settings, timers } = options;
  const configuration = ConfigurationHolder.create();
  const effective = EffectiveSettings.create({
    configuration,
    subject: getSubject(settings),
  });
  const state: SidecarState = {
    ...options,
    credentials,
    metrics: Metrics.create(),
    configuration,
    effective,
    attempts: AttemptStore.create({
      epoch: createEpoch(timers.nowMs(), createSystemRandom()),
      retentionMs: attemptRetentionMs,
      answerRetentionMs,
      orphanMs,
    }),
    admission: AdmissionController.create({
      getSettings: () => effective.get(),
      capacity: settings.capacity,
      getMeanLoad: () => getMeanLoad(state),
      timers,
    }),
    peak: createPeakGate(effective, timers),
    runner: new Pool(`http://${settings.runnerAddress}`, {
      connections: runnerConnections,
    }),
    peers: PeerClients.create({ credentials }),
    isStopping: false,
  };
  return state;
}

/** Says whether a sidecar takes no new work. */
export function isLeaving(state: SidecarState): boolean {
  return state.isStopping || state.membership?.isLeaving === true;
}

/** Says whether requests of a priority may wait for a quiet minute. */
export function isDeferrable(state: SidecarState, priority: number): boolean {
  if (!state.configuration.isLoaded) return false;
  const { classes } = state.configuration.get().body;
  const sharing = classes.filter((each) => each.priority === priority);
  return sharing.length > 0 && sharing.every((each) => each.deferrable);
}

function createPeakGate(
  effective: EffectiveSettings,
  timers: TimerService,
): PeakGate {
  return PeakGate.create({
    hold: PeakHold.create({
      getSettings: () => effective.get().peak,
      meter: MinuteMeter.create(),
    }),
    timers,
    getMaximumHeld: () => effective.get().admission.maximumQueueLength,
  });
}

/** Gets the mean load that the load cap compares with. */
function getMeanLoad({ membership }: SidecarState): MeanLoad {
  const mean = membership?.getPoolMean(membership.ownPools);
  if (mean !== undefined) return { ...mean, staleRunners: mean.stale };
  return { tokens: 0, ageMs: 0, errorTokens: 0, runners: 1, staleRunners: 0 };
}

/** What exceptions for this runner may match. */
function getSubject(settings: SidecarSettings): Match {
  const { runner, host, failureDomain, kind, pools } = settings;
  const pool = pools[0];
  return {
    runner,
    host,
    failureDomain,
    ...(kind === "engine" ? { model: pool } : { service: pool }),
  };
}
