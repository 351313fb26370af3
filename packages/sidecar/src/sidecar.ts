import type { IncomingMessage } from "node:http";
import { Admission, type MeanLoad } from "@jasminetide/core/admission";
import {
  createEpoch,
  defaultMembershipLimits,
} from "@jasminetide/core/membership";
import { getPlacementDuty } from "@jasminetide/core/leases";
import { AppError } from "@jasminetide/core/results";
import type { Match } from "@jasminetide/core/configuration";
import { createSystemRandom } from "@jasminetide/core/random";
import { MinuteMeter, PeakGate, PeakHold } from "@jasminetide/core/peak";
import type { Epoch, RunnerId } from "@jasminetide/core/tables";
import type { TimerService } from "@jasminetide/core/timers";
import {
  ConfigurationFollower,
  ConfigurationHolder,
  EffectiveSettings,
  formatForPeer,
  selectParts,
} from "@jasminetide/runtime/configuration";
import {
  createSidecarRouter,
  PeerClients,
  startControlServer,
} from "@jasminetide/runtime/control";
import { ResourceStack } from "@jasminetide/runtime/disposal";
import { headerNames } from "@jasminetide/runtime/exchange";
import {
  type ListeningServer,
  refusePeer,
  startServer,
} from "@jasminetide/runtime/http";
import type { Logger } from "@jasminetide/runtime/logging";
import { Membership } from "@jasminetide/runtime/membership";
import { Metrics, type MetricsSnapshot } from "@jasminetide/runtime/metrics";
import { PlatformClient } from "@jasminetide/runtime/platform";
import { PeerCredentials } from "@jasminetide/runtime/tls";
import { Pool } from "undici";
import { listServedModels, loadEngineState } from "./engine_state/mod.ts";
import { ChatLocator } from "./hints/mod.ts";
import { OrderGate } from "./orders/mod.ts";
import {
  createSettingsReader,
  handleCall,
  isMoneyCall,
  Ledger,
} from "./ledger/mod.ts";
import {
  AttemptStore,
  handleRequest,
  type RequestContext,
} from "./requests/mod.ts";
import type { SidecarSettings } from "./settings.ts";

/** What a sidecar is started with. */
export type SidecarOptions = {
  settings: SidecarSettings;
  timers: TimerService;
  logger: Logger;
};

/** How long it is known what became of an attempt. */
const attemptRetentionMs = 60_000;

/** How long a router may take to come back for an answer. */
const answerRetentionMs = 10_000;

/** Time after which an idempotent attempt that nobody reads is cancelled. */
const orphanMs = 5000;

const expirePeriodMs = 1000;

const drainPollMs = 25;
const engineStatePeriodMs = 1000;

const runnerConnections = 256;

const maxBodyBytes = 4_194_304;

/** The process beside one runner. */
export class Sidecar {
  readonly #options: SidecarOptions;
  readonly #metrics = Metrics.create();
  readonly #configuration = ConfigurationHolder.create();
  readonly #attempts: AttemptStore;
  readonly #admission: Admission;
  readonly #peak: PeakGate;
  readonly #effective: EffectiveSettings;
  readonly #runner: Pool;
  readonly #resources = ResourceStack.create();
  readonly #credentials: PeerCredentials | undefined;
  readonly #peers: PeerClients;
  #membership: Membership | undefined;
  #orders: OrderGate | undefined;
  #follower: ConfigurationFollower | undefined;
  #ledger: Ledger | undefined;
  #locator: ChatLocator | undefined;
  #isStopping = false;
  #hasLeft = false;
  #dataAddress = "";
  #controlAddress = "";

  private constructor(
    options: SidecarOptions,
    credentials: PeerCredentials | undefined,
  ) {
    const { settings, timers } = options;
    this.#options = options;
    this.#credentials = credentials;
    this.#peers = PeerClients.create({ credentials });
    this.#attempts = AttemptStore.create({
      epoch: createEpoch(timers.nowMs(), createSystemRandom()),
      retentionMs: attemptRetentionMs,
      answerRetentionMs,
      orphanMs,
    });
    this.#effective = EffectiveSettings.create({
      configuration: this.#configuration,
      subject: getSubject(settings),
    });
    this.#peak = PeakGate.create({
      hold: PeakHold.create({
        getSettings: () => this.#effective.get().peak,
        meter: MinuteMeter.create(),
      }),
      timers,
      getMaximumHeld: () => this.#effective.get().admission.maximumQueueLength,
    });
    this.#admission = Admission.create({
      getSettings: () => this.#effective.get(),
      capacity: settings.capacity,
      getMeanLoad: () => this.#getMeanLoad(),
      timers,
    });
    this.#runner = new Pool(`http://${settings.runnerAddress}`, {
      connections: runnerConnections,
    });
  }

  /** Starts a sidecar and its listeners. */
  static async create(options: SidecarOptions): Promise<Sidecar> {
    const { settings, timers, logger } = options;
    const credentials = settings.tls &&
      await PeerCredentials.create({ files: settings.tls, timers, logger });
    const sidecar = new Sidecar(options, credentials);
    await sidecar.#start();
    return sidecar;
  }

  /** `ip:port` at which the sidecar listens for routers. */
  get dataAddress(): string {
    return this.#dataAddress;
  }

  /** `ip:port` that routers are told. */
  get advertisedDataAddress(): string {
    return this.#options.settings.advertisedDataAddress ?? this.#dataAddress;
  }

  /** `ip:port` for peers and operators. */
  get controlAddress(): string {
    return this.#controlAddress;
  }

  /** Name of the host that the sidecar runs on. */
  get host(): string {
    return this.#options.settings.host;
  }

  /** Shards of the ledger that this sidecar knows. */
  get ledgerShards(): ReturnType<Ledger["getDump"]> {
    return this.#ledger?.getDump() ?? [];
  }

  /** Requests that wait for a slot of the runner. */
  get queueLength(): number {
    return this.#admission.queueLength;
  }

  /** Work admitted and not yet released, in weighted tokens. */
  get loadTokens(): number {
    return this.#admission.loadTokens;
  }

  /** Name of the runner beside this sidecar. */
  get runner(): RunnerId {
    return this.#options.settings.runner;
  }

  get epoch(): Epoch {
    return this.#attempts.epoch;
  }

  /** Settings that the process was started with. */
  get settings(): SidecarSettings {
    return this.#options.settings;
  }

  /** Takes a snapshot of the counters and histograms. */
  getMetrics(): MetricsSnapshot {
    return this.#metrics.getSnapshot();
  }

  /** Version of the configuration in force, 0 before the first. */
  get configurationVersion(): number {
    return this.#configuration.version;
  }

  /** Whether the sidecar takes no new work. */
  get isLeaving(): boolean {
    return this.#isStopping || this.#membership?.isLeaving === true;
  }

  /** Refuses new work, finishes what is in flight, and closes. */
  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    this.#leave();
    await this.#wait(this.#options.settings.leaveNoticeMs);
    while (this.#attempts.active > 0) await this.#wait(drainPollMs);
    await this.#resources[Symbol.asyncDispose]();
  }

  /** Tells others, and hands over what others can do. */
  #leave(): void {
    if (this.#hasLeft) return;
    this.#hasLeft = true;
    this.#membership?.setOwn({ isLeaving: true });
    this.#peak.refuseAll();
    this.#ledger?.drain();
    this.#options.logger.info("leaving", {
      runner: this.#options.settings.runner,
    });
  }

  #wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.timers.schedule(durationMs, () => resolve());
    });
  }

  #expire(nowMs: number): void {
    this.#attempts.expire(nowMs);
    const { pools } = this.#options.settings;
    pools.forEach((pool) => this.#locator?.announce(pool));
    if (this.isLeaving) this.#leave();
  }

  async #start(): Promise<void> {
    const { settings, timers, logger } = this.#options;
    const platform = PlatformClient.create({
      address: settings.platformAddress,
    });
    this.#resources.use(platform);
    if (this.#credentials !== undefined) this.#resources.use(this.#credentials);
    this.#resources.use(this.#peers);
    this.#orders = OrderGate.create({
      duty: getPlacementDuty(settings.region),
      platform,
      runner: this.#runner,
      logger,
    });
    this.#resources.defer(() => this.#runner.close());
    this.#ledger = this.#createLedger(platform);
    this.#resources.use(this.#ledger);
    const data = await this.#startData();
    this.#dataAddress = data.address;
    const control = await this.#startControl();
    this.#controlAddress = control.address;
    this.#resources.use(control);
    const membership = await this.#startMembership(platform);
    if (settings.kind === "engine") {
      this.#locator = this.#createLocator(membership);
    }
    this.#startFollower(platform, membership);
    this.#startEngineState(membership);
    this.#resources.defer(() => data.close());
    const expiry = timers.subscribe(
      expirePeriodMs,
      (nowMs) => this.#expire(nowMs),
    );
    this.#resources.defer(() => expiry[Symbol.dispose]());
    logger.info("sidecar-started", {
      runner: settings.runner,
      epoch: this.epoch,
    });
  }

  #createLedger(platform: PlatformClient): Ledger {
    const { settings, timers, logger } = this.#options;
    const [service] = settings.pools;
    return Ledger.create({
      service,
      owner: { name: settings.runner, epoch: this.epoch },
      platform,
      timers,
      logger,
      metrics: this.#metrics,
      runner: { pool: this.#runner, admission: this.#admission },
      isOffered: settings.kind === "service",
      getSettings: createSettingsReader(service, this.#configuration),
    });
  }

  #startData(): Promise<ListeningServer> {
    const context: RequestContext = {
      attempts: this.#attempts,
      admission: this.#admission,
      peak: this.#peak,
      isDeferrable: (priority) => this.#isDeferrable(priority),
      runner: this.#runner,
      kind: this.#options.settings.kind,
      timers: this.#options.timers,
      metrics: this.#metrics,
      syncConfiguration: (version, sender) => {
        this.#follower?.observeVersion(version, sender);
        return this.#follower?.sync();
      },
      getStreamSettings: () => this.#effective.get().stream,
      isLeaving: () => this.isLeaving,
      findHolder: (envelope) => this.#locator?.findHolder(envelope),
      recordHeld: (envelope) => {
        if (this.#locator === undefined) return;
        this.#metrics.count("chat-turns");
        this.#locator.recordHeld(envelope);
      },
      getAnswerHeaders: () => ({
        [headerNames.configurationVersion]: String(this.#configuration.version),
        ...this.#membership?.getAnswerHeaders(),
      }),
      maximumBodyBytes: maxBodyBytes,
    };
    const secure = {
      credentials: this.#credentials,
      logger: this.#options.logger,
    };
    return startServer(
      this.#options.settings.dataAddress,
      (request, response) => {
        const headers = getPeerRefusalHeaders(request);
        if (refusePeer(request, response, { ...secure, headers })) return;
        if (isMoneyCall(request) && this.#ledger !== undefined) {
          void handleCall(request, response, {
            ...context,
            ledger: this.#ledger,
          });
        } else void handleRequest(request, response, context);
      },
      secure,
    );
  }

  #startControl(): Promise<ListeningServer> {
    const { settings, timers } = this.#options;
    return startControlServer({
      credentials: this.#credentials,
      logger: this.#options.logger,
      address: settings.controlAddress,
      operatorKeyHash: settings.operatorKeyHash,
      getDump: () => this.#getDump(),
      router: createSidecarRouter({
        getConfiguration: (afterVersion) =>
          this.#configuration.version > afterVersion
            ? formatForPeer(this.#configuration.get())
            : undefined,
        getParts: (hashes) => selectParts(this.#configuration, hashes),
        order: (order) => this.#requireOrders().apply(order),
        isDutyHeld: () => false,
        claimChats: (claims) =>
          claims.forEach((claim) => this.#locator?.recordClaim(claim)),
        getMembers: () => this.#membership?.listMembers() ?? [],
        settle: ({ attempt, epoch }) =>
          this.#attempts.settle(attempt, { epoch, nowMs: timers.nowMs() }),
      }),
    });
  }

  async #startMembership(platform: PlatformClient): Promise<Membership> {
    const { logger, settings, timers } = this.#options;
    const membership = await Membership.create({
      identity: {
        type: "sidecar",
        name: settings.name,
        host: settings.host,
        failureDomain: settings.failureDomain,
        region: settings.region,
        controlAddress: this.#controlAddress,
        runner: {
          id: settings.runner,
          kind: settings.kind,
          pools: settings.pools,
          dataAddress: this.advertisedDataAddress,
        },
      },
      epoch: this.epoch,
      capacity: settings.capacity,
      limits: defaultMembershipLimits,
      digestKey: settings.digestKey,
      timers,
      random: createSystemRandom(),
      logger,
      platform,
      getPeer: (address) => this.#peers.get(address),
      peerAddresses: settings.peerAddresses,
      getLoadTokens: () => this.#admission.loadTokens,
    });
    this.#membership = this.#resources.use(membership);
    this.#resources.use(this.#configuration.subscribe(({ body, version }) => {
      membership.setConfigurationVersion(version);
      membership.setLimits(body.defaults.membership);
    }));
    return membership;
  }

  /** Tells the fleet what the engine beside has loaded. */
  #startEngineState(membership: Membership): void {
    const { settings, timers } = this.#options;
    if (settings.kind !== "engine") return;
    const update = async (nowMs: number) => {
      const engine = await loadEngineState(this.#runner, nowMs);
      if (engine === undefined || !this.#configuration.isLoaded) return;
      const { models } = this.#configuration.get().body;
      const pools = listServedModels(engine, models);
      membership.setOwnRunner({ pools, engine });
    };
    const ticks = timers.subscribe(
      engineStatePeriodMs,
      (nowMs) => void update(nowMs),
    );
    this.#resources.use(ticks);
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
      sections: ["exceptions"],
    });
    membership.setVersionObserver((version, address) =>
      follower.observeVersion(version, address)
    );
    this.#follower = this.#resources.use(follower);
  }

  /** Gets the mean load that the load cap compares with. */
  #getMeanLoad(): MeanLoad {
    const mean = this.#membership?.getPoolMean(this.#membership.ownPools);
    if (mean === undefined) {
      return {
        tokens: 0,
        ageMs: 0,
        errorTokens: 0,
        runners: 1,
        staleRunners: 0,
      };
    }
    return { ...mean, staleRunners: mean.stale };
  }

  #requireOrders(): OrderGate {
    if (this.#orders !== undefined) return this.#orders;
    throw AppError.create("internal", "Sidecar has not started");
  }

  #getPeakDump() {
    const { meter, size } = this.#peak.hold;
    const nowMs = this.#options.timers.nowMs();
    return {
      held: size,
      minuteTokens: meter.getCurrent(nowMs).tokens,
      peakTokens: meter.getPeakTokens(nowMs),
    };
  }

  #createLocator(membership: Membership): ChatLocator {
    return ChatLocator.create({
      self: this.#options.settings.runner,
      source: membership,
      timers: this.#options.timers,
      getLoadSettings: () => this.#effective.get().load,
      sendClaims: (home, claims) => {
        this.#metrics.count("chats-claimed", claims.length);
        this.#peers.getSidecar(home.controlAddress).claimChats.mutate(claims)
          .catch(() => this.#metrics.count("chat-claims-lost", claims.length));
      },
    });
  }

  #isDeferrable(priority: number): boolean {
    if (!this.#configuration.isLoaded) return false;
    const { classes } = this.#configuration.get().body;
    const sharing = classes.filter((each) => each.priority === priority);
    return sharing.length > 0 && sharing.every((each) => each.deferrable);
  }

  #getDump() {
    const { settings } = this.#options;
    return {
      process: {
        type: "sidecar",
        name: settings.name,
        runner: settings.runner,
        epoch: this.epoch,
      },
      isLeaving: this.isLeaving,
      configurationVersion: this.#configuration.version,
      attempts: this.#attempts.size,
      admission: {
        loadTokens: this.#admission.loadTokens,
        queueLength: this.#admission.queueLength,
        running: this.#admission.running,
        concurrencyLimit: this.#admission.concurrencyLimit,
      },
      membership: this.#membership?.getSnapshot(),
      highestFencingNumber: this.#orders?.highestFencingNumber,
      peak: this.#getPeakDump(),
      chatHints: this.#locator?.size ?? 0,
      ledger: this.#ledger?.getDump() ?? [],
      metrics: this.#metrics.getSnapshot(),
    };
  }
}

/**
 * Marks the refusal of an untrusted peer as that of the attempt that its
 * request would begin. Requests about an attempt sent before carry no such
 * header, so that their refusal says nothing of it.
 */
function getPeerRefusalHeaders(
  { headers }: IncomingMessage,
): Record<string, string> {
  const attempt = headers[headerNames.attempt];
  if (typeof attempt !== "string") return {};
  return { [headerNames.attempt]: attempt, [headerNames.executed]: "no" };
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
