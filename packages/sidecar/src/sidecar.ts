import { getPlacementDuty } from "@jasminetide/core/leases";
import type { RunnerIdentity } from "@jasminetide/core/membership";
import type { Epoch, RunnerId } from "@jasminetide/core/tables";
import { wait } from "@jasminetide/core/timers";
import { ResourceStack } from "@jasminetide/runtime/disposal";
import { joinFleet } from "@jasminetide/runtime/joining";
import type { MetricsSnapshot } from "@jasminetide/runtime/metrics";
import { PlatformClient } from "@jasminetide/runtime/platform";
import { PeerCredentials } from "@jasminetide/runtime/tls";
import type { Ledger } from "./ledger/mod.ts";
import { startControlListener, startDataListener } from "./listeners.ts";
import { OrderGate } from "./orders/mod.ts";
import type { SidecarSettings } from "./settings.ts";
import { createLedger, createLocator, startEngineState } from "./components.ts";
import {
  createState,
  isLeaving,
  type SidecarOptions,
  type SidecarState,
} from "./state.ts";

/** Time between checks for expired attempts and changed members. */
const expirePeriodMs = 1000;

/** Time between checks whether all attempts have ended. */
const drainPollMs = 25;

/** A sidecar: the process that proxies the requests to one runner. */
export class Sidecar {
  readonly #state: SidecarState;
  readonly #resources = ResourceStack.create();
  #hasLeft = false;
  #dataAddress = "";
  #controlAddress = "";

  private constructor(state: SidecarState) {
    this.#state = state;
  }

  /** Starts a sidecar and its listeners. */
  static async create(options: SidecarOptions): Promise<Sidecar> {
    const { settings, timers, logger } = options;
    const credentials = settings.tls &&
      await PeerCredentials.create({ files: settings.tls, timers, logger });
    const sidecar = new Sidecar(createState(options, credentials));
    await sidecar.#start();
    return sidecar;
  }

  /** `ip:port` at which the sidecar listens for routers. */
  get dataAddress(): string {
    return this.#dataAddress;
  }

  /** `ip:port` that routers connect to. */
  get advertisedDataAddress(): string {
    return this.#state.settings.advertisedDataAddress ?? this.#dataAddress;
  }

  /** `ip:port` for peers and operators. */
  get controlAddress(): string {
    return this.#controlAddress;
  }

  /** Name of the host that the sidecar runs on. */
  get host(): string {
    return this.#state.settings.host;
  }

  /** Highest fencing number that orders have shown; 0 before the first. */
  get highestFencingNumber(): number {
    return this.#state.orders?.highestFencingNumber ?? 0;
  }

  /** State of the ledger shards at this sidecar. */
  get ledgerShards(): ReturnType<Ledger["getDump"]> {
    return this.#state.ledger?.getDump() ?? [];
  }

  /** Number of requests that wait for a slot of the runner. */
  get queueLength(): number {
    return this.#state.admission.queueLength;
  }

  /** Load that is admitted and not yet released, in weighted tokens. */
  get loadTokens(): number {
    return this.#state.admission.loadTokens;
  }

  /** Name of this sidecar's runner. */
  get runner(): RunnerId {
    return this.#state.settings.runner;
  }

  get epoch(): Epoch {
    return this.#state.attempts.epoch;
  }

  /** Settings with which the process was started. */
  get settings(): SidecarSettings {
    return this.#state.settings;
  }

  /** Takes a snapshot of the counters and histograms. */
  getMetrics(): MetricsSnapshot {
    return this.#state.metrics.getSnapshot();
  }

  /** Version of the current configuration, 0 before the first is loaded. */
  get configurationVersion(): number {
    return this.#state.configuration.version;
  }

  /** Whether the sidecar refuses new requests. */
  get isLeaving(): boolean {
    return isLeaving(this.#state);
  }

  /** Refuses new requests, waits for those in flight, and closes. */
  async [Symbol.asyncDispose](): Promise<void> {
    const state = this.#state;
    if (state.isStopping) return;
    state.isStopping = true;
    this.#leave();
    await wait(state.timers, state.settings.leaveNoticeMs);
    while (state.attempts.activeCount > 0) {
      await wait(state.timers, drainPollMs);
    }
    await this.#resources[Symbol.asyncDispose]();
  }

  /** Announces the stop, refuses held requests and releases ledger shards. */
  #leave(): void {
    if (this.#hasLeft) return;
    this.#hasLeft = true;
    const { ledger, logger, membership, peak, settings } = this.#state;
    membership?.setOwnState({ isLeaving: true });
    peak.refuseAll();
    ledger?.drain();
    logger.info("leaving", { runner: settings.runner });
  }

  #expire(nowMs: number): void {
    const { attempts, locator, settings } = this.#state;
    attempts.expire(nowMs);
    settings.pools.forEach((pool) => locator?.announce(pool));
    if (this.isLeaving) this.#leave();
  }

  async #start(): Promise<void> {
    const state = this.#state;
    const { logger, settings, timers } = state;
    const resources = this.#resources;
    const platform = PlatformClient.create({
      address: settings.platformAddress,
    });
    resources.use(platform);
    if (state.credentials !== undefined) resources.use(state.credentials);
    resources.use(state.peers);
    resources.defer(() => state.runner.close());
    const duty = getPlacementDuty(settings.region);
    const { runner } = state;
    state.orders = resources.use(
      OrderGate.create({ duty, platform, runner, logger }),
    );
    state.ledger = resources.use(createLedger(state, platform));
    await this.#listen({ platform, resources });
    const expiry = timers.subscribe(
      expirePeriodMs,
      (nowMs) => this.#expire(nowMs),
    );
    resources.use(expiry);
    logger.info("sidecar-started", {
      runner: settings.runner,
      epoch: this.epoch,
    });
  }

  /** Starts the listeners, then the components that use their addresses. */
  async #listen(
    options: { platform: PlatformClient; resources: ResourceStack },
  ): Promise<void> {
    const state = this.#state;
    const data = await startDataListener(state);
    this.#dataAddress = data.address;
    const control = await startControlListener(state);
    this.#controlAddress = control.address;
    options.resources.use(control);
    const { membership, follower } = await joinFleet({
      ...state,
      ...options,
      epoch: this.epoch,
      capacity: state.settings.capacity,
      controlAddress: control.address,
      runner: createRunnerIdentity(state.settings, this.advertisedDataAddress),
      sections: ["exceptions"],
      getLoadTokens: () => state.admission.loadTokens,
    });
    state.membership = membership;
    state.follower = follower;
    if (state.settings.kind === "engine") {
      state.locator = createLocator(state, membership);
    }
    startEngineState(state, membership, options);
    options.resources.defer(() => data.close());
  }
}

function createRunnerIdentity(
  settings: SidecarSettings,
  dataAddress: string,
): RunnerIdentity {
  const { kind, pools, runner: id } = settings;
  return { id, kind, pools, dataAddress };
}
