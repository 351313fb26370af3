import { PrefixHolders } from "@jasminetide/core/pools";
import { createSystemRandom } from "@jasminetide/core/random";
import type { RoutingDeclaration } from "@jasminetide/core/routes";
import { type TimerService, wait } from "@jasminetide/core/timers";
import { EventLoopLoad, StallDetector } from "@jasminetide/runtime/clock";
import { ResourceStack } from "@jasminetide/runtime/disposal";
import type { Logger } from "@jasminetide/runtime/logging";
import type { Evacuation } from "./evacuations/mod.ts";
import { FleetView } from "./fleet_view.ts";
import type { ObjectSource } from "./following/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { GraceEnd } from "./grace_end.ts";
import { HedgePolicies } from "./hedge_policies.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { getHostLimits } from "./host_limits.ts";
import {
  CallerListener,
  ConnectionGuard,
  formatMetrics,
  startControlListener,
  startReadinessListener,
  waitForClose,
} from "./listening/mod.ts";
import { LimitNews } from "./limits/mod.ts";
import { createMemoryBudgets } from "./memory_budgets.ts";
import {
  createNewsHandler,
  createPeerHandler,
  fetchEvidence,
  type PeerRegistry,
  sendEvidence,
  sendLimits,
} from "./peers/mod.ts";
import { PeerDatagrams } from "./peer_datagrams.ts";
import type { WireProtocol } from "./protocol.ts";
import { CrashGuard } from "./quarantine/mod.ts";
import { RequestLog } from "./request_log.ts";
import { explainRequest, serveRequest } from "./requests/mod.ts";
import { ServiceStates } from "./service_states.ts";
import type { GatewaySettings } from "./settings.ts";
import { type StreamRegistry, StreamVersions } from "./stream_versions/mod.ts";
import type { RunnerRecord } from "./upstreams/mod.ts";

/** Options of a gateway. */
export type GatewayOptions = {
  settings: GatewaySettings;
  timers: TimerService;
  logger: Logger;
  protocol: WireProtocol;
  declarations: ObjectSource<RoutingDeclaration>;
  runners: ObjectSource<RunnerRecord>;
  /** Followed only if the settings have a limit for evacuations. */
  evacuations: ObjectSource<Evacuation>;
  registry: PeerRegistry;
  streams: StreamRegistry;
};

/** What the listeners of a gateway use. */
type ListeningParts = {
  listener: CallerListener;
  guard: ConnectionGuard;
  metrics: GatewayMetrics;
};

/**
 * A router without sidecars: forwards each request that matches a declared
 * route to a runner of the route's service.
 */
export class Gateway {
  readonly #options: GatewayOptions;
  readonly #resources = ResourceStack.create();
  readonly #metrics: GatewayMetrics;
  readonly #guard: ConnectionGuard;
  readonly #random = createSystemRandom();
  readonly #hedging: HedgePolicies;
  readonly #services: ServiceStates;
  readonly #listener: CallerListener;
  readonly #fleet: FleetView;
  readonly #crashGuard: CrashGuard;
  readonly #limitNews: LimitNews;
  readonly #datagrams: PeerDatagrams;
  readonly #holders = PrefixHolders.create({ maxPrefixes: maxTrackedPrefixes });
  readonly #streamVersions: StreamVersions;
  readonly #context: GatewayContext;
  #settings: GatewaySettings;
  #peerAddress = "";
  #isStopping = false;
  #isClosing = false;
  /** Requests whose answers are not sent yet. */
  #openRequests = 0;
  readonly #graceEnd = GraceEnd.create();

  private constructor(options: GatewayOptions, parts: ListeningParts) {
    const { listener } = parts;
    this.#options = options;
    this.#metrics = parts.metrics;
    this.#guard = parts.guard;
    this.#services = ServiceStates.create({
      ...options,
      startedAtMs: options.timers.nowMs(),
    });
    this.#settings = options.settings;
    this.#hedging = HedgePolicies.create(options.settings);
    this.#listener = this.#resources.use(listener);
    const limits = getHostLimits(options.settings.host);
    this.#streamVersions = this.#resources.use(StreamVersions.create({
      ...options,
      name: options.settings.name,
      registry: options.streams,
      writesPerSecond: options.settings.platform.writesPerSecond,
      countRouters: () => this.#fleet.gatewayCount,
    }));
    this.#fleet = this.#resources.use(FleetView.create({
      ...options,
      random: this.#random,
      metrics: this.#metrics,
      maxIdleConnections: limits.idleRunnerConnections,
      onDeclaration: ({ callerLimits }) => listener.setLimits(callerLimits),
      onRunnerRemoved: (id) => this.#holders.forgetRunner(id),
      onRunners: (runners) => this.#streamVersions.observeRunners(runners),
    }));
    this.#crashGuard = this.#resources.use(CrashGuard.create({
      ...options,
      random: this.#random,
      metrics: this.#metrics,
      getKnownRouters: () => this.#fleet.knownRouters,
      peers: {
        list: () => this.#fleet.listPeerAddresses(),
        send: sendEvidence,
        fetch: fetchEvidence,
      },
    }));
    this.#limitNews = this.#resources.use(LimitNews.create({
      ...options,
      directory: this.#fleet.directory,
      peers: {
        list: () => this.#fleet.listPeerAddresses(),
        send: sendLimits,
      },
    }));
    this.#datagrams = this.#resources.use(PeerDatagrams.create({
      ...options,
      random: this.#random,
      metrics: this.#metrics,
      directory: this.#fleet.directory,
      holders: this.#holders,
      listPeers: () => this.#fleet.listDatagramPeers(),
    }));
    this.#resources.use(StallDetector.create({
      timers: options.timers,
      onStall: (durationMs) =>
        options.logger.warn("stalled", { durationMs: Math.round(durationMs) }),
    }));
    this.#resources.use(EventLoopLoad.create({
      timers: options.timers,
      onBusy: ({ busyShare, ...report }) =>
        options.logger.warn("event-loop-busy", {
          busyPercent: Math.round(busyShare * 100),
          ...report,
        }),
    }));
    this.#context = this.#createContext();
    listener.setHandler((request, response) => {
      this.#openRequests += 1;
      const served = serveRequest(request, response, this.#context);
      void Promise.all([served, waitForClose(response)])
        .finally(() => this.#openRequests -= 1);
    });
  }

  /** Starts a gateway and its listeners. */
  static async create(options: GatewayOptions): Promise<Gateway> {
    const { settings, logger } = options;
    const { callerConnections, heldBytes } = getHostLimits(settings.host);
    const metrics = GatewayMetrics.create();
    const guard = ConnectionGuard.create({ ...options, metrics, heldBytes });
    const listener = await CallerListener.create({
      address: settings.callerAddress,
      maxConnections: callerConnections,
      guard,
    });
    const gateway = new Gateway(options, { listener, guard, metrics });
    await gateway.#startInternalListeners();
    logger.info("gateway-started", { callers: listener.address });
    return gateway;
  }

  /** Whether the load balancer should send callers to this gateway. */
  get isReady(): boolean {
    return !this.#isStopping && this.#fleet.isComplete;
  }

  /** `ip:port` at which callers connect. */
  get callerAddress(): string {
    return this.#listener.address;
  }

  /** `ip:port` at which other gateways and operators' tools connect. */
  get peerAddress(): string {
    return this.#peerAddress;
  }

  /** Number of known runners, including draining ones. */
  get runnerCount(): number {
    return this.listRunners().length;
  }

  /** Records of the known runners, including draining ones. */
  listRunners(): RunnerRecord[] {
    return this.#fleet.directory.listRecords();
  }

  /** Failure domains whose runners get nothing. */
  get evacuatedDomains(): ReadonlySet<string> {
    return this.#fleet.directory.evacuatedDomains;
  }

  /** Version of the current declaration, 0 before the first. */
  get declarationVersion(): number {
    return this.#fleet.declarationVersion;
  }

  /**
   * Applies the settings that may change while the process runs: the retry
   * budget, the limit on hedges and the times of a planned stop. The others
   * require a restart.
   */
  applySettings(settings: GatewaySettings): void {
    const { repeats, stop } = settings;
    this.#settings = { ...this.#settings, repeats, stop };
    this.#services.applySettings(settings);
    this.#hedging.applySettings(settings);
  }

  /**
   * Stops the gateway: reports it as not ready to the load balancer, waits for
   * the requests in flight, and closes the connections.
   */
  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const { logger, timers } = this.#options;
    const { stop } = this.#settings;
    const limitMs = stop.graceSeconds * 1000 - stopMarginMs;
    const endMs = timers.nowMs() + limitMs;
    logger.info("leaving", { openRequests: this.#openRequests });
    void this.#fleet.withdraw();
    await wait(timers, stop.noticeMs);
    this.#isClosing = true;
    this.#listener.closeIdle();
    await this.#waitForRequests(endMs);
    this.#graceEnd.reach();
    await this.#waitForRequests(endMs + finalAnswersMs);
    logger.info("left", { openRequests: this.#openRequests });
    await this.#resources[Symbol.asyncDispose]();
  }

  /** Waits until all answers are sent, or until a time. */
  async #waitForRequests(endMs: number): Promise<void> {
    const { timers } = this.#options;
    while (this.#openRequests > 0 && timers.nowMs() < endMs) {
      await wait(timers, stopCheckPeriodMs);
      // Answers that began before the stop lack the header that announces it.
      this.#listener.closeIdle();
    }
  }

  async #startInternalListeners(): Promise<void> {
    const { settings } = this.#options;
    const guard = this.#guard;
    const limits = getHostLimits(settings.host);
    this.#resources.use(
      await startReadinessListener({
        address: settings.readinessAddress,
        maxConnections: limits.readinessConnections,
        guard,
      }, () => this.isReady),
    );
    const control = await startControlListener({
      address: settings.peerAddress,
      maxConnections: limits.peerConnections,
      guard,
    }, {
      handlePeer: createPeerHandler({
        getState: () => this.#fleet.getState(),
        explainRequest: (query) => explainRequest(query, this.#context),
        mergeEvidence: (evidence) => this.#crashGuard.merge(evidence),
        getEvidence: () => this.#crashGuard.getEvidence(),
        mergeLimits: (statements) => this.#limitNews.merge(statements),
      }),
      handleNews: createNewsHandler(this.#fleet.publisher),
      formatMetrics: () => formatMetrics(this.#metrics.getSnapshot()),
      getDump: () => this.#getDump(),
    });
    this.#peerAddress = this.#resources.use(control).address;
    await this.#datagrams.open();
  }

  #getDump() {
    return {
      process: { type: "gateway", name: this.#options.settings.name },
      isReady: this.isReady,
      openRequests: this.#openRequests,
      callers: {
        ...this.#listener.getSnapshot(),
        heldBytes: this.#guard.heldBytes,
        bodyBytes: this.#context.bodyMemory.usedBytes,
        answerBytes: this.#context.answerMemory.usedBytes,
        limits: getHostLimits(this.#options.settings.host),
      },
      fleet: this.#fleet.getSnapshot(),
      quarantine: this.#crashGuard.getSnapshot(),
      hedging: this.#hedging.getSnapshot(this.#options.timers.nowMs()),
      metrics: this.#metrics.getSnapshot(),
    };
  }

  #createContext(): GatewayContext {
    const { logger, protocol, settings, timers } = this.#options;
    return {
      protocol,
      directory: this.#fleet.directory,
      prefixOwners: this.#datagrams.owners,
      holders: this.#holders,
      crashGuard: this.#crashGuard,
      limitNews: this.#limitNews,
      loadReports: this.#datagrams.loads,
      limitsWait: settings.admission.limitsWait,
      streamVersions: this.#streamVersions,
      ...createMemoryBudgets(getHostLimits(settings.host)),
      failureDomain: settings.failureDomain,
      timers,
      random: this.#random,
      metrics: this.#metrics,
      logger,
      requestLog: RequestLog.create({ logger, timers, ...settings.log }),
      getConnectionAgeMs: (socket) => this.#listener.getConnectionAgeMs(socket),
      isComplete: () => this.#fleet.isComplete,
      waitUntilComplete: (limitMs) => this.#fleet.waitUntilComplete(limitMs),
      getRoutes: () => this.#fleet.routes,
      hedging: this.#hedging,
      services: this.#services,
      countRouters: () => Math.max(this.#fleet.gatewayCount, minAssumedRouters),
      getKnownRouters: () => this.#fleet.knownRouters,
      graceEnd: this.#graceEnd,
      isStopping: () => this.#isStopping,
      isClosing: () => this.#isClosing,
    };
  }
}

/** Period at which a stopping gateway checks for requests in flight. */
const stopCheckPeriodMs = 50;

/** Time in which the final answers at the end of the grace are sent. */
const finalAnswersMs = 150;

/** Time reserved for closing before the platform kills the process. */
const stopMarginMs = 400;

/** Maximum shared prefixes of prompts whose holders are tracked. */
const maxTrackedPrefixes = 20_000;

/**
 * Minimum number of routers that a retry budget is divided among, since the
 * other routers may not be known yet.
 */
const minAssumedRouters = 4;
