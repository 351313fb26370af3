import type { ResourceStack } from "@jasminetide/runtime/disposal";
import type { Membership } from "@jasminetide/runtime/membership";
import type { PlatformClient } from "@jasminetide/runtime/platform";
import { listServedModels, loadEngineState } from "./engine_state/mod.ts";
import { ChatLocator } from "./hints/mod.ts";
import { createSettingsReader, Ledger } from "./ledger/mod.ts";
import type { SidecarState } from "./state.ts";

/** Dependencies of components that are started. */
export type StartOptions = {
  platform: PlatformClient;
  /** Disposes the started components. */
  resources: ResourceStack;
};

/** Time between reads of the engine's state. */
const engineStatePeriodMs = 1000;

/** Starts to publish the models that the engine has loaded. */
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
    isEnabled: settings.kind === "service",
    getSettings: createSettingsReader(service, configuration),
  });
}

/** Creates the chat locator, which sends claims to other sidecars. */
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
