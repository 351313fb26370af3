import { createEpoch } from "@jasminetide/core/membership";
import {
  type Duty,
  getPlacementDuty,
  statusDuty,
} from "@jasminetide/core/leases";
import { createSystemRandom } from "@jasminetide/core/random";
import type { Epoch, RunnerState } from "@jasminetide/core/tables";
import { type TimerService, wait } from "@jasminetide/core/timers";
import {
  type ConfigurationFollower,
  ConfigurationHolder,
  formatForPeer,
  selectParts,
} from "@jasminetide/runtime/configuration";
import {
  createRouterProcedures,
  PeerClients,
  startControlServer,
} from "@jasminetide/runtime/control";
import { ResourceStack } from "@jasminetide/runtime/disposal";
import type { ListeningServer } from "@jasminetide/runtime/http";
import { joinFleet } from "@jasminetide/runtime/joining";
import { LeaseManager } from "@jasminetide/runtime/leases";
import type { Logger } from "@jasminetide/runtime/logging";
import type { Membership } from "@jasminetide/runtime/membership";
import { Metrics, type MetricsSnapshot } from "@jasminetide/runtime/metrics";
import { PlatformClient } from "@jasminetide/runtime/platform";
import { PeerCredentials } from "@jasminetide/runtime/tls";
import { Connections, PoolStates } from "./attempts/mod.ts";
import { startCallerListener } from "./caller_listener.ts";
import { CallerSettings } from "./callers/mod.ts";
import { PoolViews } from "./choice/mod.ts";
import { LedgerShardCache } from "./ledger/mod.ts";
import { WorkspaceLimiter } from "./limits/mod.ts";
import { PlacementController } from "./placement/mod.ts";
import type { RouterContext } from "./router_context.ts";
import type { RouterSettings } from "./settings.ts";

/** Settings and services that a router is started with. */
export type RouterOptions = {
  settings: RouterSettings;
  timers: TimerService;
  logger: Logger;
};

/** Receives requests from callers and sends them to runners. */
export class Router {
  readonly #options: RouterOptions;
  readonly #metrics = Metrics.create();
  readonly #configuration = ConfigurationHolder.create();
  readonly #credentials: PeerCredentials | undefined;
  readonly #connections: Connections;
  readonly #poolStates = PoolStates.create();
  readonly #resources = ResourceStack.create();
  readonly #callerSettings = CallerSettings.create(this.#configuration);
  readonly #peers: PeerClients;
  #membership: Membership | undefined;
  #leases: LeaseManager | undefined;
  #limiter: WorkspaceLimiter | undefined;
  readonly #epoch: Epoch;
  #follower: ConfigurationFollower | undefined;
  #isStopping = false;
  #callerListener: ListeningServer | undefined;
  #callerAddress = "";
  #controlAddress = "";

  private constructor(
    options: RouterOptions,
    credentials: PeerCredentials | undefined,
  ) {
    this.#options = options;
    this.#credentials = credentials;
    this.#connections = credentials === undefined
      ? Connections.create()
      : Connections.createSecure(credentials);
    this.#peers = PeerClients.create({ credentials });
    this.#epoch = createEpoch(options.timers.nowMs(), createSystemRandom());
  }

  /** Starts a router and its listeners. */
  static async create(options: RouterOptions): Promise<Router> {
    const { settings, timers, logger } = options;
    const credentials = settings.tls &&
      await PeerCredentials.create({ files: settings.tls, timers, logger });
    const router = new Router(options, credentials);
    await router.#start();
    return router;
  }

  /** `ip:port` for callers. */
  get callerAddress(): string {
    return this.#callerAddress;
  }

  /** `ip:port` for peers and operators. */
  get controlAddress(): string {
    return this.#controlAddress;
  }

  /** Version of the current configuration, 0 before the first. */
  get configurationVersion(): number {
    return this.#configuration.version;
  }

  /** Gets the fencing number of a duty while this router holds it. */
  getFencingNumber(duty: Duty): number | undefined {
    return this.#leases?.getFencingNumber(duty);
  }

  /** Gets the state of a runner in the membership view of this router. */
  getRunnerState(id: string): RunnerState | undefined {
    return this.#membership?.runners.get(id)?.state;
  }

  /** Whether any runner accepts new requests for a model or service. */
  hasCandidate(pool: string): boolean {
    return (this.#membership?.getCandidates(pool).length ?? 0) > 0;
  }

  /** Settings with which the router was started. */
  get settings(): RouterSettings {
    return this.#options.settings;
  }

  /** Takes a snapshot of the counters and histograms. */
  getMetrics(): MetricsSnapshot {
    return this.#metrics.getSnapshot();
  }

  /** Whether the router has a configuration and an active runner is known. */
  get isReady(): boolean {
    return !this.#isLeaving && this.#configuration.isLoaded &&
      this.#membership?.hasActiveRunner === true;
  }

  get #isLeaving(): boolean {
    return this.#isStopping || this.#membership?.isLeaving === true;
  }

  /** Stops accepting requests, completes those in flight, and closes. */
  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    this.#membership?.setOwnState({ isLeaving: true });
    this.#options.logger.info("leaving");
    this.#callerListener?.announceClose();
    const { settings, timers } = this.#options;
    await wait(timers, settings.leaveNoticeMs);
    await this.#resources[Symbol.asyncDispose]();
  }

  async #start(): Promise<void> {
    const { settings, logger } = this.#options;
    const platform = PlatformClient.create({
      address: settings.platformAddress,
    });
    this.#resources.use(platform);
    if (this.#credentials !== undefined) this.#resources.use(this.#credentials);
    this.#resources.use(this.#connections);
    this.#resources.use(this.#peers);
    this.#resources.use(this.#callerSettings);
    this.#resources.use(
      this.#configuration.subscribe(() => this.#poolStates.clear()),
    );
    const control = await this.#startControl();
    this.#resources.use(control);
    this.#controlAddress = control.address;
    const { membership, follower } = await joinFleet({
      ...this.#options,
      platform,
      peers: this.#peers,
      configuration: this.#configuration,
      resources: this.#resources,
      epoch: this.#epoch,
      capacity: 1,
      controlAddress: control.address,
    });
    this.#membership = membership;
    this.#follower = follower;
    this.#startLeases(platform, membership);
    const limiter = this.#createLimiter(membership);
    const callers = await startCallerListener(settings.callerAddress, {
      context: this.#createContext(membership, limiter),
      isReady: () => this.isReady,
    });
    this.#resources.defer(() => callers.close());
    this.#callerListener = callers;
    this.#callerAddress = callers.address;
    logger.info("router-started", { callers: callers.address });
  }

  #startLeases(platform: PlatformClient, membership: Membership): void {
    const { logger, settings, timers } = this.#options;
    const leases = LeaseManager.create({
      self: {
        name: settings.name,
        epoch: this.#epoch,
        controlAddress: this.#controlAddress,
      },
      duties: [getPlacementDuty(settings.region), statusDuty],
      platform,
      timers,
      logger,
      getPeer: (address) => this.#peers.get(address),
      listCandidates: () => membership.listRouters(),
    });
    this.#leases = this.#resources.use(leases);
    this.#resources.use(PlacementController.create({
      region: settings.region,
      configuration: this.#configuration,
      leases,
      membership,
      platform,
      timers,
      logger,
      getSidecar: (address) => this.#peers.getSidecar(address),
    }));
    this.#resources.defer(() => leases.release());
  }

  #startControl(): Promise<ListeningServer> {
    const { settings, logger } = this.#options;
    return startControlServer({
      credentials: this.#credentials,
      logger,
      address: settings.controlAddress,
      operatorKeyHash: settings.operatorKeyHash,
      getDump: () => this.#getDump(),
      router: createRouterProcedures({
        grantQuota: (quotaRequests) =>
          this.#limiter?.grant(quotaRequests) ?? [],
        getConfiguration: (afterVersion) =>
          this.#configuration.version > afterVersion
            ? formatForPeer(this.#configuration.get())
            : undefined,
        getParts: (hashes) => selectParts(this.#configuration, hashes),
        isDutyHeld: (duty, epoch) =>
          epoch === this.#epoch && this.#leases?.isHeld(duty) === true,
        getMembers: () => this.#membership?.listMembers() ?? [],
      }),
    });
  }

  #createLimiter(membership: Membership): WorkspaceLimiter {
    const { logger, settings, timers } = this.#options;
    const limiter = WorkspaceLimiter.create({
      name: settings.name,
      timers,
      logger,
      random: createSystemRandom(),
      metrics: this.#metrics,
      listRouters: () => membership.listRouters(),
      getRate: (workspace) => {
        const rate =
          this.#callerSettings.resolve({ workspace }).settings.workspace;
        return {
          requests: rate.requestsPerSecond,
          tokens: rate.tokensPerSecond,
        };
      },
      requestQuota: (address, quotaRequests) =>
        this.#peers.getRouter(address).grantQuota.mutate(quotaRequests),
    });
    this.#limiter = this.#resources.use(limiter);
    return limiter;
  }

  #createContext(
    membership: Membership,
    limiter: WorkspaceLimiter,
  ): RouterContext {
    return {
      configuration: this.#configuration,
      membership,
      connections: this.#connections,
      poolStates: this.#poolStates,
      ledgerShards: LedgerShardCache.create(),
      limiter,
      poolViews: PoolViews.create({ source: membership }),
      failureDomain: this.#options.settings.failureDomain,
      timers: this.#options.timers,
      random: createSystemRandom(),
      metrics: this.#metrics,
      logger: this.#options.logger,
      syncConfiguration: () => this.#follower?.sync(),
      getKeyIndex: () => this.#callerSettings.keyIndex,
      resolve: (subject) => this.#callerSettings.resolve(subject),
    };
  }

  #getDump() {
    return {
      process: { type: "router", name: this.#options.settings.name },
      configurationVersion: this.#configuration.version,
      runners: [...this.#membership?.runners.rows() ?? []],
      membership: this.#membership?.getSnapshot(),
      duties: this.#leases?.getSnapshot(),
      metrics: this.#metrics.getSnapshot(),
    };
  }
}
