import { defaultMembershipLimits } from "@jasminetide/core/membership";
import { createSystemRandom } from "@jasminetide/core/random";
import { ConfigurationFollower } from "@jasminetide/runtime/configuration";
import type { ResourceStack } from "@jasminetide/runtime/disposal";
import { Membership } from "@jasminetide/runtime/membership";
import type { PlatformClient } from "@jasminetide/runtime/platform";
import { listServedModels, loadEngineState } from "./engine_state/mod.ts";
import { ChatLocator } from "./hints/mod.ts";
import { createSettingsReader, Ledger } from "./ledger/mod.ts";
import type { SidecarState } from "./state.ts";

/** Addresses that were bound. */
export type BoundAddresses = {
  /** `ip:port` that routers are told. */
  dataAddress: string;
  controlAddress: string;
};

/** What parts of a sidecar are started with. */
export type StartOptions = {
  platform: PlatformClient;
  /** Owns what is started. */
  resources: ResourceStack;
};

const engineStatePeriodMs = 1000;

/** Starts to take part in the fleet. */
export async function startMembership(
  state: SidecarState,
  options: StartOptions & BoundAddresses,
): Promise<Membership> {
  const { admission, attempts, logger, peers, settings, timers } = state;
  const { controlAddress, dataAddress, platform, resources } = options;
  const { failureDomain, host, kind, name, pools, region } = settings;
  const runner = { id: settings.runner, kind, pools, dataAddress };
  const membership = await Membership.create({
    identity: {
      type: "sidecar",
      name,
      host,
      failureDomain,
      region,
      controlAddress,
      runner,
    },
    epoch: attempts.epoch,
    capacity: settings.capacity,
    limits: defaultMembershipLimits,
    digestKey: settings.digestKey,
    timers,
    random: createSystemRandom(),
    logger,
    platform,
    getPeer: (address) => peers.get(address),
    peerAddresses: settings.peerAddresses,
    getLoadTokens: () => admission.loadTokens,
  });
  resources.use(membership);
  resources.use(state.configuration.subscribe(({ body, version }) => {
    membership.setConfigurationVersion(version);
    membership.setLimits(body.defaults.membership);
  }));
  return membership;
}

/** Starts to follow the configuration. */
export function startFollower(
  state: SidecarState,
  membership: Membership,
  options: StartOptions,
): ConfigurationFollower {
  const { configuration, logger, peers, timers } = state;
  const follower = ConfigurationFollower.create({
    platform: options.platform,
    holder: configuration,
    timers,
    logger,
    getPeer: (address) => peers.get(address),
    isWatcher: () => membership.isWatcher,
    listPeers: () => membership.listRouterAddresses(),
    whenReady: membership.whenReady,
    sections: ["exceptions"],
  });
  membership.setVersionObserver((version, address) =>
    follower.observeVersion(version, address)
  );
  return options.resources.use(follower);
}

/** Starts to tell the fleet what the engine beside has loaded. */
export function startEngineState(
  state: SidecarState,
  membership: Membership,
  options: StartOptions,
): void {
  const { configuration, runner, settings, timers } = state;
  if (settings.kind !== "engine") return;
  const update = async (nowMs: number) => {
    const engine = await loadEngineState(runner, nowMs);
    if (engine === undefined || !configuration.isLoaded) return;
    const { models } = configuration.get().body;
    const pools = listServedModels(engine, models);
    membership.setOwnRunner({ pools, engine });
  };
  options.resources.use(
    timers.subscribe(engineStatePeriodMs, (nowMs) => void update(nowMs)),
  );
}

/** Creates the ledger of the service that the runner serves. */
export function createLedger(
  state: SidecarState,
  platform: PlatformClient,
): Ledger {
  const { admission, attempts, configuration, logger } = state;
  const { metrics, runner, settings, timers } = state;
  const [service] = settings.pools;
  return Ledger.create({
    service,
    owner: { name: settings.runner, epoch: attempts.epoch },
    platform,
    timers,
    logger,
    metrics,
    runner: { pool: runner, admission },
    isOffered: settings.kind === "service",
    getSettings: createSettingsReader(service, configuration),
  });
}

/** Creates what knows where chats are held. */
export function createLocator(
  state: SidecarState,
  membership: Membership,
): ChatLocator {
  const { effective, metrics, peers, settings, timers } = state;
  return ChatLocator.create({
    self: settings.runner,
    source: membership,
    timers,
    getLoadSettings: () => effective.get().load,
    sendClaims: (home, claims) => {
      metrics.count("chats-claimed", claims.length);
      peers.getSidecar(home.controlAddress).claimChats.mutate(claims)
        .catch(() => metrics.count("chat-claims-lost", claims.length));
    },
  });
}
