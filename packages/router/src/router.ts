import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type Match,
  type RequestSettings,
  resolveRequest,
} from "@jasminetide/core/configuration";
import {
  createEpoch,
  defaultMembershipLimits,
} from "@jasminetide/core/membership";
import {
  type Duty,
  getPlacementDuty,
  statusDuty,
} from "@jasminetide/core/leases";
import { createSystemRandom } from "@jasminetide/core/random";
import { AppError, normalizeError } from "@jasminetide/core/results";
import type { Epoch, RunnerState } from "@jasminetide/core/tables";
import type { TimerService } from "@jasminetide/core/timers";
import {
  ConfigurationFollower,
  ConfigurationHolder,
  formatForPeer,
  selectParts,
} from "@jasminetide/runtime/configuration";
import {
  createEntryRouter,
  PeerClients,
  startControlServer,
} from "@jasminetide/runtime/control";
import { ResourceStack } from "@jasminetide/runtime/disposal";
import {
  type ListeningServer,
  sendJson,
  sendProblem,
  startServer,
} from "@jasminetide/runtime/http";
import { LeaseKeeper } from "@jasminetide/runtime/leases";
import type { Logger } from "@jasminetide/runtime/logging";
import { Membership } from "@jasminetide/runtime/membership";
import { Metrics, type MetricsSnapshot } from "@jasminetide/runtime/metrics";
import { PlatformClient } from "@jasminetide/runtime/platform";
import { PeerCredentials } from "@jasminetide/runtime/tls";
import polka from "polka";
import { Connections, PoolStates } from "./attempts/mod.ts";
import { createKeyIndex, type KeyIndex } from "./callers/mod.ts";
import { handleChat, handleModels } from "./chats/mod.ts";
import { LedgerRoutes } from "./ledger/mod.ts";
import { WorkspaceLimiter } from "./limits/mod.ts";
import { PlacementKeeper } from "./placement/mod.ts";
import { PoolViews } from "./choice/mod.ts";
import type { RouterContext } from "./router_context.ts";
import { handleService } from "./services/mod.ts";
import type { RouterSettings } from "./settings.ts";

/** What a router is started with. */
export type RouterOptions = {
  settings: RouterSettings;
  timers: TimerService;
  logger: Logger;
};

/** Settings of requests that are kept before the cache is emptied. */
const maxResolvedSubjects = 50_000;

/** Takes requests of callers and brings them to runners. */
export class Router {
  readonly #options: RouterOptions;
  readonly #metrics = Metrics.create();
  readonly #configuration = ConfigurationHolder.create();
  readonly #credentials: PeerCredentials | undefined;
  readonly #connections: Connections;
  readonly #pools = PoolStates.create();
  readonly #resources = ResourceStack.create();
  readonly #resolved = new Map<string, RequestSettings>();
  readonly #peers: PeerClients;
  #membership: Membership | undefined;
  #leases: LeaseKeeper | undefined;
  #limiter: WorkspaceLimiter | undefined;
  readonly #epoch: Epoch;
  #follower: ConfigurationFollower | undefined;
  #keyIndex: KeyIndex = new Map();
  #isStopping = false;
  #callers: ListeningServer | undefined;
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

  /** Version of the configuration in force, 0 before the first. */
  get configurationVersion(): number {
    return this.#configuration.version;
  }

  /** Gets the fencing number of a duty while this router holds it. */
  getFencingNumber(duty: Duty): number | undefined {
    return this.#leases?.getFencingNumber(duty);
  }

  /** Gets the state of a runner as this router sees it. */
  getRunnerState(id: string): RunnerState | undefined {
    return this.#membership?.runners.get(id)?.state;
  }

  /** Whether a runner takes new work for a model or service. */
  hasCandidate(pool: string): boolean {
    return (this.#membership?.getCandidates(pool).length ?? 0) > 0;
  }

  /** Settings that the process was started with. */
  get settings(): RouterSettings {
    return this.#options.settings;
  }

  /** Takes a snapshot of the counters and histograms. */
  getMetrics(): MetricsSnapshot {
    return this.#metrics.getSnapshot();
  }

  /** Whether the router has a configuration and knows a live runner. */
  get isReady(): boolean {
    return !this.#isLeaving && this.#configuration.isLoaded &&
      this.#membership?.hasActiveRunner === true;
  }

  get #isLeaving(): boolean {
    return this.#isStopping || this.#membership?.isLeaving === true;
  }

  /** Stops accepting, finishes the requests in flight, and closes. */
  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    this.#membership?.setOwn({ isLeaving: true });
    this.#options.logger.info("leaving");
    this.#callers?.announceClose();
    await new Promise<void>((resolve) => {
      const { settings, timers } = this.#options;
      timers.schedule(settings.leaveNoticeMs, () => resolve());
    });
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
    this.#resources.use(this.#configuration.subscribe(({ body }) => {
      this.#keyIndex = createKeyIndex(body);
      this.#resolved.clear();
      this.#pools.clear();
    }));
    const control = await this.#startControl();
    this.#resources.use(control);
    this.#controlAddress = control.address;
    const membership = await this.#startMembership(platform);
    this.#startFollower(platform, membership);
    this.#startLeases(platform, membership);
    const callers = await this.#startCallers(membership);
    this.#resources.defer(() => callers.close());
    this.#callers = callers;
    this.#callerAddress = callers.address;
    logger.info("router-started", { callers: callers.address });
  }

  async #startMembership(platform: PlatformClient): Promise<Membership> {
    const { logger, settings, timers } = this.#options;
    const random = createSystemRandom();
    const membership = await Membership.create({
      identity: {
        type: "router",
        name: settings.name,
        host: settings.host,
        failureDomain: settings.failureDomain,
        region: settings.region,
        controlAddress: this.#controlAddress,
      },
      epoch: this.#epoch,
      capacity: 1,
      limits: defaultMembershipLimits,
      digestKey: settings.digestKey,
      timers,
      random,
      logger,
      platform,
      getPeer: (address) => this.#peers.get(address),
      peerAddresses: settings.peerAddresses,
    });
    this.#resources.use(membership);
    this.#membership = membership;
    this.#resources.use(this.#configuration.subscribe(({ body, version }) => {
      membership.setConfigurationVersion(version);
      membership.setLimits(body.defaults.membership);
    }));
    return membership;
  }

  #startLeases(platform: PlatformClient, membership: Membership): void {
    const { logger, settings, timers } = this.#options;
    const leases = LeaseKeeper.create({
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
    this.#resources.use(PlacementKeeper.create({
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

  #startFollower(platform: PlatformClient, membership: Membership): void {
    const { logger, timers } = this.#options;
    const follower = ConfigurationFollower.create({
      platform,
      holder: this.#configuration,
      timers,
      logger,
      getPeer: (address) => this.#peers.get(address),
      isWatcher: () => membership.isWatcher,
      listPeers: () => membership.listRouterAddresses(),
      whenReady: membership.whenReady,
    });
    membership.setVersionObserver((version, address) =>
      follower.observeVersion(version, address)
    );
    this.#follower = this.#resources.use(follower);
  }

  #startControl(): Promise<ListeningServer> {
    const { settings, logger } = this.#options;
    return startControlServer({
      credentials: this.#credentials,
      logger,
      address: settings.controlAddress,
      operatorKeyHash: settings.operatorKeyHash,
      getDump: () => this.#getDump(),
      router: createEntryRouter({
        grantQuota: (wishes) => this.#limiter?.grant(wishes) ?? [],
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

  #startCallers(membership: Membership): Promise<ListeningServer> {
    const limiter = this.#createLimiter(membership);
    const context = this.#createContext(membership, limiter);
    const app = polka({
      onNoMatch: (_request, response) =>
        sendProblem(response, AppError.create("notFound", "No such path")),
    });
    app.get(
      "/healthz",
      (_request, response) => sendJson(response, { status: "ok" }),
    );
    app.get("/readyz", (_request, response) => this.#sendReady(response));
    app.get(
      "/v1/models",
      handleWith(context, handleModels),
    );
    app.post("/v1/chat/completions", handleWith(context, handleChat));
    app.all("/*", handleWith(context, handleService));
    return startServer(
      this.#options.settings.callerAddress,
      (request, response) => {
        app.handler(request as polka.Request, response);
      },
    );
  }

  #sendReady(response: ServerResponse): void {
    sendJson(response, { ready: this.isReady }, {
      status: this.isReady ? 200 : 503,
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
        const rate = this.#resolve({ workspace }).settings.workspace;
        return {
          requests: rate.requestsPerSecond,
          tokens: rate.tokensPerSecond,
        };
      },
      askOwner: (address, wishes) =>
        this.#peers.getEntry(address).grantQuota.mutate(wishes),
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
      directory: membership,
      connections: this.#connections,
      pools: this.#pools,
      ledgerRoutes: LedgerRoutes.create(),
      limiter,
      poolViews: PoolViews.create({ source: membership }),
      failureDomain: this.#options.settings.failureDomain,
      timers: this.#options.timers,
      random: createSystemRandom(),
      metrics: this.#metrics,
      logger: this.#options.logger,
      syncConfiguration: () => this.#follower?.sync(),
      getKeyIndex: () => this.#keyIndex,
      resolve: (subject) => this.#resolve(subject),
    };
  }

  #resolve(subject: Match): RequestSettings {
    const cacheKey = JSON.stringify(subject);
    const cached = this.#resolved.get(cacheKey);
    if (cached !== undefined) return cached;
    const { body } = this.#configuration.get();
    const resolved = resolveRequest(body, subject);
    if (this.#resolved.size >= maxResolvedSubjects) this.#resolved.clear();
    this.#resolved.set(cacheKey, resolved);
    return resolved;
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

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
  context: RouterContext,
) => Promise<void> | void;

/** Answers with a problem document when a handler throws. */
function handleWith(context: RouterContext, handler: Handler) {
  return async (request: IncomingMessage, response: ServerResponse) => {
    try {
      await context.syncConfiguration();
      await handler(request, response, context);
    } catch (thrown) {
      const error = normalizeError(thrown);
      context.metrics.count(`answered-${error.result}`);
      if (error.result === "internal") {
        context.logger.error("request-failed", {
          code: error.code,
          detail: error.message,
        });
      }
      sendProblem(response, error);
    }
  };
}
