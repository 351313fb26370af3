import { hash32, type KnownRouters } from "@jasminetide/core/hashing";
import type { RandomSource } from "@jasminetide/core/random";
import { RouteTable, type RoutingDeclaration } from "@jasminetide/core/routes";
import { type TimerService, wait } from "@jasminetide/core/timers";
import { ResourceStack } from "@jasminetide/runtime/disposal";
import type { Logger } from "@jasminetide/runtime/logging";
import { type Evacuation, listEvacuatedDomains } from "./evacuations/mod.ts";
import { ObjectFollower, type ObjectSource } from "./following/mod.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import {
  fetchNewerState,
  GatewayRegistration,
  type GatewayState,
  getHostCapacity,
  type NewsPublisher,
  PeerPoller,
  type PeerRecord,
  type PeerRegistry,
} from "./peers/mod.ts";
import type { DatagramPeer } from "./prefix_owners/mod.ts";
import type { GatewaySettings } from "./settings.ts";
import { StateSync } from "./state_sync.ts";
import { Directory, type RunnerRecord } from "./upstreams/mod.ts";

/** Options of a fleet view. */
export type FleetViewOptions = {
  settings: GatewaySettings;
  timers: TimerService;
  random: RandomSource;
  logger: Logger;
  metrics: GatewayMetrics;
  declarations: ObjectSource<RoutingDeclaration>;
  runners: ObjectSource<RunnerRecord>;
  evacuations: ObjectSource<Evacuation>;
  registry: PeerRegistry;
  /** Limit on idle connections to all runners. */
  maxIdleConnections: number;
  /** Called with each declaration that is applied. */
  onDeclaration: (declaration: RoutingDeclaration) => void;
  /** Called with the id of a runner whose process is listed no more. */
  onRunnerRemoved: (id: string) => void;
  /** Called with all listed runners when they have changed. */
  onRunners: (runners: readonly RunnerRecord[]) => void;
};

/**
 * A gateway's view of its fleet: the current declaration, the runners and the
 * other gateways. It is read from the platform's store and, while the store
 * does not answer this gateway, from the other gateways.
 */
export class FleetView {
  readonly directory: Directory;
  readonly #options: FleetViewOptions;
  readonly #resources = ResourceStack.create();
  readonly #sync: StateSync;
  readonly #registration: GatewayRegistration;
  #routes: RouteTable | undefined;
  #peers: ReadonlyMap<string, PeerRecord> = new Map();
  #knownRouters: KnownRouters;
  #datagramPeers: readonly DatagramPeer[] = [];
  #areRunnersKnown = false;
  #areEvacuationsKnown: boolean;
  #wasReady = false;
  #complete: () => void = () => {};
  readonly #completed = new Promise<void>((resolve) => {
    this.#complete = resolve;
  });

  private constructor(options: FleetViewOptions) {
    const { registry, settings } = options;
    this.#options = options;
    this.#areEvacuationsKnown =
      settings.platform.evacuationLimitMs === undefined;
    const selfHash = hash32(settings.name);
    this.#knownRouters = { selfHash, otherHashes: undefined };
    const { evacuationLimitMs = 0, lastResortShare } = settings.platform;
    const lastResortMs = evacuationLimitMs * lastResortShare;
    this.directory = Directory.create({
      ...options,
      lastResortMs,
      onRemoved: options.onRunnerRemoved,
    });
    this.#sync = this.#resources.use(StateSync.create({
      ...options,
      listGateways: () => this.#peers,
      resolveRunner: (record) => this.directory.resolveRestored(record),
      onDeclarations: (declarations) => this.#applyDeclarations(declarations),
      onRunners: (records) => this.#applyRunners(records),
      onEvacuations: (evacuations) => this.#applyEvacuations(evacuations),
    }));
    this.#registration = this.#resources.use(GatewayRegistration.create({
      ...options,
      name: settings.name,
      record: {
        address: settings.peerAddress,
        capacity: getHostCapacity(settings.host),
        datagramAddress: settings.datagrams?.address,
      },
      registry,
    }));
    this.#followPeers();
  }

  /** Creates a view and starts to follow the store. */
  static create(options: FleetViewOptions): FleetView {
    return new FleetView(options);
  }

  /** Current declared routes; undefined before the first version. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** Version of the current declaration, 0 before the first. */
  get declarationVersion(): number {
    return this.#routes?.declaration.version ?? 0;
  }

  /** Whether the declaration, the runners and the evacuations are known. */
  get isComplete(): boolean {
    return this.#routes !== undefined && this.#areRunnersKnown &&
      this.#areEvacuationsKnown;
  }

  /** Waits until the view is complete, or for `limitMs`. */
  async waitUntilComplete(limitMs: number): Promise<void> {
    if (this.isComplete) return;
    const { timers } = this.#options;
    await Promise.race([this.#completed, wait(timers, limitMs)]);
  }

  /** Sends the changes that this gateway knows to others. */
  get publisher(): NewsPublisher {
    return this.#sync.publisher;
  }

  /** Number of known gateways, including this one. */
  get gatewayCount(): number {
    return this.#peers.size;
  }

  /** All gateways; replaced when they change. */
  get knownRouters(): KnownRouters {
    return this.#knownRouters;
  }

  /** State to send to other gateways; undefined during an outage. */
  getState(): GatewayState | undefined {
    if (!this.#sync.isCurrent) return undefined;
    return {
      declaration: this.#routes?.declaration,
      ...this.#sync.listRunners(),
      evacuations: this.#sync.listEvacuations(),
    };
  }

  /** Addresses of the other gateways, from the store and the settings. */
  listPeerAddresses(): string[] {
    const { peerAddress, seedAddresses } = this.#options.settings;
    const addresses = new Set(seedAddresses);
    for (const { address } of this.#peers.values()) addresses.add(address);
    addresses.delete(peerAddress);
    return [...addresses];
  }

  /** The other gateways that take datagrams. */
  listDatagramPeers(): readonly DatagramPeer[] {
    return this.#datagramPeers;
  }

  /** State as written to a dump. */
  getSnapshot() {
    return {
      ...this.#sync.getSnapshot(),
      declarationVersion: this.declarationVersion,
      runnersPosition: this.#sync.runnersPosition,
      gateways: [...this.#peers.keys()],
      evacuatedDomains: [...this.directory.evacuatedDomains],
      runners: this.directory.listRecords(),
    };
  }

  /** Removes this gateway from the list of gateways in the store. */
  withdraw(): Promise<void> {
    return this.#registration.withdraw();
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.#resources[Symbol.asyncDispose]();
  }

  #followPeers(): void {
    const { registry } = this.#options;
    this.#resources.use(ObjectFollower.create({
      ...this.#options,
      name: "gateways",
      source: registry.peers,
      getWatchMs: () => peerWatchMs,
      getMaxBackoffMs: () => peerBackoffMs,
      keepMissingMs: 0,
      onObjects: (objects) => this.#applyPeers(objects),
    }));
    this.#resources.use(PeerPoller.create({
      ...this.#options,
      isConnected: () => !this.#sync.isCutOff,
      getVersions: () => ({
        version: this.declarationVersion,
        position: this.#sync.runnersPosition,
        evacuations: this.#sync.evacuationsPosition,
      }),
      listPeers: () => this.listPeerAddresses(),
      fetchState: fetchNewerState,
      onNewerState: (state) => this.#applyPeerState(state),
    }));
  }

  /** Applies the newest declaration; an older one never replaces it. */
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
    this.#checkReady();
  }

  /** Notes once that the view is complete enough to serve requests. */
  #checkReady(): void {
    if (this.#wasReady || !this.isComplete) return;
    this.#wasReady = true;
    this.#complete();
    this.#options.logger.info("ready", {
      version: this.declarationVersion,
      runners: this.directory.listRecords().length,
      isFromStore: this.#sync.isConnected,
    });
  }

  #applyPeers(peers: ReadonlyMap<string, PeerRecord>): void {
    const before = this.#peers.size;
    this.#peers = new Map(peers);
    this.#knownRouters = createKnownRouters(peers, this.#options.settings.name);
    this.#datagramPeers = listDatagramPeers(
      peers,
      this.#options.settings.name,
    );
    this.#registration.checkList(peers);
    if (before === peers.size) return;
    this.#options.logger.info("gateways-known", { before, now: peers.size });
  }

  #applyRunners(records: ReadonlyMap<string, RunnerRecord>): void {
    this.directory.apply(records);
    this.#options.onRunners(this.directory.listRecords());
    this.#areRunnersKnown = true;
    this.#checkReady();
  }

  #applyEvacuations(evacuations: Iterable<Evacuation>): void {
    const { logger } = this.#options;
    const before = this.directory.evacuatedDomains;
    const domains = listEvacuatedDomains(evacuations);
    this.directory.setEvacuated(domains, {
      ageMs: this.#sync.evacuationsAgeMs,
      getColdMs: (service) =>
        this.#routes?.findService(service)?.coldStartMs ?? 0,
    });
    for (const domain of domains) {
      if (!before.has(domain)) logger.info("domain-evacuated", { domain });
    }
    for (const domain of before) {
      if (!domains.has(domain)) logger.info("domain-returned", { domain });
    }
    this.#areEvacuationsKnown = true;
    this.#checkReady();
  }

  #applyPeerState(state: Partial<GatewayState>): void {
    const { declaration, evacuations, keepMissingMs = 0, position, runners } =
      state;
    if (evacuations !== undefined) this.#sync.applyEvacuations(evacuations);
    if (declaration !== undefined) this.#applyDeclarations([declaration]);
    if (runners === undefined || position === undefined) return;
    this.#sync.applyRunners({ position, runners, keepMissingMs });
  }
}

function listDatagramPeers(
  peers: ReadonlyMap<string, PeerRecord>,
  self: string,
): DatagramPeer[] {
  return [...peers].flatMap(([name, { datagramAddress: address }]) =>
    name === self || address === undefined
      ? []
      : [{ nameHash: hash32(name), address }]
  );
}

function createKnownRouters(
  peers: ReadonlyMap<string, PeerRecord>,
  self: string,
): KnownRouters {
  const others = [...peers.keys()].filter((name) => name !== self);
  const isKnown = peers.size > 0;
  return {
    selfHash: hash32(self),
    otherHashes: isKnown ? others.map((name) => hash32(name)) : undefined,
    isUnlisted: isKnown && !peers.has(self),
  };
}

/** Maximum wait of a watch on gateways, which seldom change. */
const peerWatchMs = 10_000;

/** Maximum pause between calls for the list of gateways in an outage. */
const peerBackoffMs = 5000;
