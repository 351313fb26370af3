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

/** Options of a sidecar. */
export type SidecarOptions = {
  settings: SidecarSettings;
  timers: TimerService;
  logger: Logger;
};

/**
 * Components of a sidecar. The optional ones are created at the start; some of
 * them use the address of a listener.
 */
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

/** Time for which the outcome of an attempt is kept. */
const attemptRetentionMs = 60_000;

/** Time within which a router can reconnect to read an ended answer. */
const answerRetentionMs = 10_000;

/** Time after which an idempotent attempt without readers is cancelled. */
const orphanMs = 5000;

/** Maximum number of connections to the runner. */
const runnerConnections = 256;

/** Creates the components that do not use the address of a listener. */
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

/** Checks whether a sidecar refuses new requests. */
export function isLeaving(state: SidecarState): boolean {
  return state.isStopping || state.membership?.isLeaving === true;
}

/**
 * Checks whether requests of a priority may be held back: all request classes of
 * the priority must be deferrable.
 */
export function isDeferrable(state: SidecarState, priority: number): boolean {
  if (!state.configuration.isLoaded) return false;
  const { classes } = state.configuration.get().body;
  const matches = classes.filter((candidate) =>
    candidate.priority === priority
  );
  return matches.length > 0 && matches.every(({ deferrable }) => deferrable);
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

/** Gets the mean load of the pool, from which the load cap is computed. */
function getMeanLoad({ membership }: SidecarState): MeanLoad {
  const mean = membership?.getPoolMean(membership.ownPools);
  if (mean !== undefined) return { ...mean, staleRunners: mean.stale };
  return { tokens: 0, ageMs: 0, errorTokens: 0, runners: 1, staleRunners: 0 };
}

/** Gets the values that the exceptions in the configuration can match. */
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
