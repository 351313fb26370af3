import type { RandomSource } from "@jasminetide/core/random";
import { normalizeError } from "@jasminetide/core/results";
import { RouteTable, type RoutingDeclaration } from "@jasminetide/core/routes";
import { type TimerService, wait } from "@jasminetide/core/timers";
import { ResourceStack } from "@jasminetide/runtime/disposal";
import type { Logger } from "@jasminetide/runtime/logging";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { ObjectFollower, type ObjectSource } from "./following/mod.ts";
import {
  askPeer,
  type GatewayState,
  PeerFollower,
  type PeerRecord,
  type PeerRegistry,
} from "./peers/mod.ts";
import type { GatewaySettings } from "./settings.ts";
import { Directory, type RunnerRecord } from "./upstreams/mod.ts";

/** What a view of the fleet needs. */
export type FleetViewOptions = {
  settings: GatewaySettings;
  timers: TimerService;
  random: RandomSource;
  logger: Logger;
  metrics: GatewayMetrics;
  declarations: ObjectSource<RoutingDeclaration>;
  runners: ObjectSource<RunnerRecord>;
  registry: PeerRegistry;
  /** Called with each declaration that comes into force. */
  onDeclaration: (declaration: RoutingDeclaration) => void;
};

/**
 * What a gateway knows of its fleet: the declaration in force, the runners and
 * the other gateways. Learnt from the platform's store, and from the other
 * gateways while the store turns this one away.
 */
export class FleetView {
  readonly directory: Directory;
  readonly #options: FleetViewOptions;
  readonly #resources = ResourceStack.create();
  readonly #declarations: ObjectFollower<RoutingDeclaration>;
  readonly #runners: ObjectFollower<RunnerRecord>;
  #routes: RouteTable | undefined;
  #peers: ReadonlyMap<string, PeerRecord> = new Map();
  #newsRevision = 0;
  #hasRunners = false;
  #wasReady = false;
  #isLeaving = false;

  private constructor(options: FleetViewOptions) {
    this.#options = options;
    this.directory = Directory.create(options);
    const { platform } = options.settings;
    const watchMs = platform.noticeSilenceMs * watchShare;
    this.#declarations = this.#resources.use(ObjectFollower.create({
      ...options,
      name: "declarations",
      source: options.declarations,
      watchMs,
      keepMissingMs: 0,
      onObjects: (objects) => this.#applyDeclarations(objects.values()),
    }));
    this.#runners = this.#resources.use(ObjectFollower.create({
      ...options,
      name: "runners",
      source: options.runners,
      watchMs,
      keepMissingMs: platform.keepMissingMs,
      onObjects: (objects) => this.#applyRunners(objects),
    }));
    this.#followPeers();
    void this.#announce();
  }

  /** Starts to follow the store. */
  static create(options: FleetViewOptions): FleetView {
    return new FleetView(options);
  }

  /** Declared routes in force; undefined before the first version. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** Version of the declaration in force, 0 before the first. */
  get declarationVersion(): number {
    return this.#routes?.declaration.version ?? 0;
  }

  /** Whether both a declaration and the runners are known. */
  get isComplete(): boolean {
    return this.#routes !== undefined && this.#hasRunners;
  }

  /** Whether the store itself answers this gateway. */
  get isConnected(): boolean {
    return this.#declarations.isConnected && this.#runners.isConnected;
  }

  /** Gateways that are known, this one included. */
  get gatewayCount(): number {
    return this.#peers.size;
  }

  /** What other gateways may rely on; nothing while the store is away. */
  getState(): GatewayState | undefined {
    if (!this.isConnected) return undefined;
    return {
      declaration: this.#routes?.declaration,
      revision: this.#runnersRevision,
      runners: this.directory.listRecords(),
    };
  }

  /** State for a dump. */
  getSnapshot() {
    return {
      isConnected: this.isConnected,
      declarationVersion: this.declarationVersion,
      runnersRevision: this.#runnersRevision,
      gateways: [...this.#peers.keys()],
      runners: this.directory.listRecords(),
    };
  }

  /** Takes this gateway out of the list that the others read. */
  async withdraw(): Promise<void> {
    const { logger, registry, settings } = this.#options;
    this.#isLeaving = true;
    try {
      await registry.withdraw(settings.name);
    } catch (thrown) {
      logger.warn("withdraw-failed", {
        detail: normalizeError(thrown).message,
      });
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#isLeaving = true;
    return this.#resources[Symbol.asyncDispose]();
  }

  /** Revision of the runners, from the store or from another gateway. */
  get #runnersRevision(): number {
    return Math.max(this.#runners.revision, this.#newsRevision);
  }

  #followPeers(): void {
    const { registry } = this.#options;
    this.#resources.use(ObjectFollower.create({
      ...this.#options,
      name: "gateways",
      source: registry.peers,
      watchMs: peerWatchMs,
      keepMissingMs: 0,
      onObjects: (objects) => this.#applyPeers(objects),
    }));
    this.#resources.use(PeerFollower.create({
      ...this.#options,
      isConnected: () => this.isConnected,
      getKnown: () => ({
        version: this.declarationVersion,
        revision: this.#runnersRevision,
      }),
      listPeers: () => this.#listPeerAddresses(),
      ask: askPeer,
      onNews: (news) => this.#applyNews(news),
    }));
  }

  /** Addresses of the other gateways, from the store and the settings. */
  #listPeerAddresses(): string[] {
    const { peerAddress, seedAddresses } = this.#options.settings;
    const addresses = new Set(seedAddresses);
    for (const { address } of this.#peers.values()) addresses.add(address);
    addresses.delete(peerAddress);
    return [...addresses];
  }

  /** Tells the store where this gateway is, until it has answered. */
  async #announce(): Promise<void> {
    const { logger, registry, settings, timers } = this.#options;
    while (!this.#isLeaving) {
      try {
        await registry.announce(settings.name, {
          address: settings.peerAddress,
        });
        return;
      } catch (thrown) {
        logger.warn("announce-failed", {
          detail: normalizeError(thrown).message,
        });
        await wait(timers, announcePeriodMs);
      }
    }
  }

  /** Puts the newest declaration in force; an older one never replaces it. */
  #applyDeclarations(declarations: Iterable<RoutingDeclaration>): void {
    for (const declaration of declarations) {
      if (declaration.version <= this.declarationVersion) continue;
      this.#options.logger.info("declaration-applied", {
        version: declaration.version,
        before: this.declarationVersion,
        routes: declaration.routes.length,
      });
      this.#routes = RouteTable.create(declaration);
      this.#options.onDeclaration(declaration);
    }
    this.#recordReady();
  }

  /** Logs once that enough is known to serve requests. */
  #recordReady(): void {
    if (this.#wasReady || !this.isComplete) return;
    this.#wasReady = true;
    this.#options.logger.info("ready", {
      version: this.declarationVersion,
      runners: this.directory.listRecords().length,
      isFromStore: this.isConnected,
    });
  }

  #applyPeers(peers: ReadonlyMap<string, PeerRecord>): void {
    const before = this.#peers.size;
    this.#peers = new Map(peers);
    if (before === peers.size) return;
    this.#options.logger.info("gateways-known", { before, now: peers.size });
  }

  #applyRunners(records: ReadonlyMap<string, RunnerRecord>): void {
    this.directory.apply(records);
    this.#hasRunners = true;
    this.#recordReady();
  }

  #applyNews(news: Partial<GatewayState>): void {
    if (news.declaration !== undefined) {
      this.#applyDeclarations([news.declaration]);
    }
    const { revision = 0, runners } = news;
    if (runners === undefined || revision <= this.#runnersRevision) return;
    this.#newsRevision = revision;
    this.#applyRunners(new Map(runners.map((each) => [each.id, each])));
  }
}

/** Part of the time for noticing silence that one watch may take. */
const watchShare = 0.6;

/** Longest wait of a watch on gateways; they come and go seldom. */
const peerWatchMs = 10_000;

/** Pause between tries to tell the store where this gateway is. */
const announcePeriodMs = 1000;
