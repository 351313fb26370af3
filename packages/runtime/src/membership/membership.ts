import type { IncomingHttpHeaders } from "node:http";
import {
  createGossipState,
  createMembershipTables,
  createRotatingScheme,
  decodeDigest,
  encodeAnswerRecord,
  type EngineState,
  expireFlaps,
  expireMembers,
  getCandidates,
  getOwnRecord,
  getPoolMean,
  type GossipState,
  isLeaving,
  type MemberIdentity,
  type MemberRow,
  type MembershipLimits,
  type MembershipTables,
  type PoolMean,
  publishRatio,
  publishTokens,
  receiveDigest,
  recordFailure,
  type SendDigest,
  sendDueDigests,
  setOwnLeaving,
  setOwnLoad,
  setOwnRunner,
  setOwnVersion,
  setPending,
  tickPeriodMs,
} from "@jasminetide/core/membership";
import type { RandomSource } from "@jasminetide/core/random";
import { normalizeError } from "@jasminetide/core/results";
import type { RunnerRow, Table } from "@jasminetide/core/tables";
import type { TimerService } from "@jasminetide/core/timers";
import type { KnownMember, PeerClient } from "../control/mod.ts";
import { ResourceStack } from "../disposal/mod.ts";
import { headerNames } from "../exchange/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { PlatformClient } from "../platform/mod.ts";
import { DatagramSocket } from "./datagrams.ts";
import { createDeferred } from "./deferred.ts";
import { HostListReader } from "./host_list_reader.ts";
import { isFrequentReader } from "./host_list.ts";
import { LeavingRunners } from "./leaving_runners.ts";
import {
  listKnownMembers,
  listLiveRouters,
  listOtherRouters,
  type LiveRouter,
} from "./list_members.ts";
import { loadMembers, mergeKnownMembers } from "./load_members.ts";
import {
  mergeAnswerRecord,
  readConfigurationVersion,
} from "./merge_answer_record.ts";
import { WireIdIndex } from "./wire_id_index.ts";

/** Called with the configuration version that a member reports to hold. */
export type VersionObserver = (version: number, controlAddress: string) => void;

/** Identity of this process and the services that membership uses. */
export type MembershipOptions = {
  identity: MemberIdentity;
  epoch: number;
  capacity: number;
  limits: MembershipLimits;
  timers: TimerService;
  random: RandomSource;
  logger: Logger;
  platform: PlatformClient;
  /** Shared secret that authenticates the fleet's datagrams. */
  digestKey: string;
  /** Gets the load of this sidecar's runner. */
  getLoadTokens?: () => number;
  getPeer: (controlAddress: string) => PeerClient;
  /** Peers that are queried for members while the platform is down. */
  peerAddresses: readonly string[];
};

/** Changes to the record that this process publishes of itself. */
export type OwnState = { loadTokens?: number; isLeaving?: boolean };

/** The members known to one process, including the process itself. */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #tables: MembershipTables;
  readonly #gossip: GossipState;
  readonly #resources = ResourceStack.create();
  readonly #leavingRunners = LeavingRunners.create();
  readonly #wireIds: WireIdIndex;
  #socket: DatagramSocket | undefined;
  readonly #hostList: HostListReader;
  #observeVersion: VersionObserver = () => {};
  readonly #ready = createDeferred();
  /** Whether peers are being queried for their members. */
  #isQueryingPeers = false;

  private constructor(options: MembershipOptions) {
    const nowMs = options.timers.nowMs();
    this.#options = options;
    this.#tables = createMembershipTables({ ...options, nowMs });
    this.#wireIds = WireIdIndex.create(this.#tables);
    this.#hostList = HostListReader.create({
      tables: this.#tables,
      platform: options.platform,
      warn: (event, thrown) => this.#warn(event, thrown),
      nowMs,
    });
    this.#gossip = createGossipState({
      tables: this.#tables,
      scheme: createRotatingScheme(options.random),
      nowMs,
      phaseMs: options.random.getInteger(options.limits.digestPeriodMs),
    });
  }

  /** Binds the socket and starts to read the host list and to gossip. */
  static async create(options: MembershipOptions): Promise<Membership> {
    const membership = new Membership(options);
    await membership.#start();
    return membership;
  }

  /** Runners by name. */
  get runners(): Table<string, RunnerRow> {
    return this.#tables.runners;
  }

  /** Members by number, including this process. */
  get members(): Table<number, MemberRow> {
    return this.#tables.members;
  }

  /** Resolves once peers were queried for members, even if none answered. */
  get whenReady(): Promise<void> {
    return this.#ready.promise;
  }

  /** Pools that this sidecar's runner serves. */
  get ownPools(): readonly string[] {
    return this.#tables.self.identity.runner?.pools ?? [];
  }

  /** `ip:port` for peers. */
  get controlAddress(): string {
    return this.#options.identity.controlAddress;
  }

  /** Whether this process is leaving, by its own decision or that of others. */
  get isLeaving(): boolean {
    return isLeaving(this.#tables.self);
  }

  /** Whether this process is one of the few that poll the platform often. */
  get isWatcher(): boolean {
    return isFrequentReader(this.#tables);
  }

  /** Whether at least one runner accepts new work. */
  get hasActiveRunner(): boolean {
    return [...this.runners.rows()].some((row) => row.state === "active");
  }

  /**
   * Gets the runners that accept new work for a model or service, without those
   * already tried.
   */
  getCandidates(
    pool: string,
    tried: ReadonlySet<string> = new Set(),
  ): RunnerRow[] {
    const nowMs = this.#options.timers.nowMs();
    return getCandidates(this.#tables, pool, { nowMs, tried });
  }

  /**
   * Gets the mean load of the runners of one pool or of several pools, with its
   * age and error bound.
   */
  getPoolMean(pool: string | readonly string[]): PoolMean {
    this.#readLoad();
    return getPoolMean(this.runners.rows(), {
      pools: typeof pool === "string" ? [pool] : pool,
      nowMs: this.#options.timers.nowMs(),
      staleAfterMs: this.#tables.limits.staleAfterMs,
      publishRatio,
      publishTokens,
    });
  }

  /** Updates the record that this process publishes of itself. */
  setOwnState(state: OwnState): void {
    if (state.loadTokens !== undefined) {
      setOwnLoad(this.#gossip, state.loadTokens);
    }
    if (state.isLeaving === true) {
      setOwnLeaving(this.#gossip);
      this.#tick();
    }
  }

  /** Sets the observer of the configuration versions that members hold. */
  setVersionObserver(observe: VersionObserver): void {
    this.#observeVersion = observe;
  }

  /**
   * Lists the control addresses of routers in random order, followed by the
   * peer addresses in the settings.
   */
  listRouterAddresses(): string[] {
    const { peerAddresses, random } = this.#options;
    const others = listOtherRouters(this.#tables, random);
    return [...new Set([...others, ...peerAddresses])];
  }

  /** Lists the routers that are alive and not leaving, including this one. */
  listRouters(): LiveRouter[] {
    return listLiveRouters(this.#tables);
  }

  /** Lists the members with their records, for a process that is starting. */
  listMembers(): KnownMember[] {
    return listKnownMembers(this.#tables, this.#options.timers.nowMs());
  }

  /** Sets the published pools and engine state of this sidecar's runner. */
  setOwnRunner(state: { pools: string[]; engine: EngineState }): void {
    setOwnRunner(this.#gossip, state);
  }

  /** Raises the configuration version that is published to peers. */
  setConfigurationVersion(version: number): void {
    setOwnVersion(this.#gossip, version);
  }

  /** Applies new limits. */
  setLimits(limits: MembershipLimits): void {
    this.#tables.limits = limits;
  }

  /** Gets the headers that this process adds to each of its answers. */
  getAnswerHeaders(): { [name: string]: string } {
    this.#readLoad();
    const record = getOwnRecord(
      this.#gossip,
      this.#options.timers.nowMs(),
    );
    return { [headerNames.digest]: encodeAnswerRecord(record) };
  }

  /** Merges the record in the headers of an answer of a runner's sidecar. */
  recordAnswer(runner: string, headers: IncomingHttpHeaders): void {
    const wireId = this.#wireIds.find(runner);
    this.#observeAnsweredVersion(runner, headers);
    if (wireId === undefined) return;
    try {
      mergeAnswerRecord(headers, {
        tables: this.#tables,
        gossip: this.#gossip,
        wireId,
        nowMs: this.#options.timers.nowMs(),
      });
    } catch (thrown) {
      this.#warn("answer-record-refused", thrown);
    }
  }

  /** Asserts that a runner may still get new work; called at each dispatch. */
  recordDispatch(runner: string): void {
    this.#leavingRunners.assertDispatch(runner, this.#options.timers.nowMs());
  }

  /** Records that a runner did not answer; it is held down for a while. */
  recordFailure(runner: string): void {
    const wireId = this.#wireIds.find(runner);
    const member = wireId === undefined ? undefined : this.members.get(wireId);
    if (member === undefined) return;
    recordFailure(this.#tables, member, this.#options.timers.nowMs());
  }

  /** Gets the membership statistics in the dump of the process. */
  getSnapshot() {
    const { budget } = this.#gossip;
    return {
      members: this.members.size,
      unknown: this.#tables.unknown.size,
      heldDown: [...this.#tables.flaps.entries()].map(([runner, row]) => ({
        runner,
        ...row,
      })),
      digestBytesSent: budget.sentBytes,
      digestsSent: budget.datagrams,
      hostListBytes: this.#options.platform.hostListBytes,
      digestBytesReceived: this.#socket?.receivedBytes ?? 0,
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#resources[Symbol.asyncDispose]();
  }

  async #start(): Promise<void> {
    const { identity, digestKey, timers } = this.#options;
    this.#socket = this.#resources.use(
      await DatagramSocket.create({
        address: identity.controlAddress,
        key: digestKey,
        receive: (bytes) => this.#receive(bytes),
        handleError: (error) => this.#warn("datagram-refused", error),
      }),
    );
    this.#resources.use(timers.subscribe(tickPeriodMs, () => this.#tick()));
    this.#tick();
  }

  #tick(): void {
    const nowMs = this.#options.timers.nowMs();
    this.#readLoad();
    if (this.#hostList.isDue(nowMs) && !this.#isQueryingPeers) {
      void this.#readHosts(nowMs);
    }
    this.#leavingRunners.observe(this.runners.rows(), nowMs);
    expireMembers(this.#tables, nowMs);
    expireFlaps(this.#tables, nowMs);
    this.#send(sendDueDigests(this.#gossip, nowMs));
  }

  #receive(bytes: Uint8Array): void {
    const digest = decodeDigest(bytes);
    const nowMs = this.#options.timers.nowMs();
    this.#send(receiveDigest(this.#gossip, digest, nowMs));
    const sender = this.members.get(digest.sender);
    if (sender === undefined) return;
    this.#observeVersion(
      digest.configurationVersion,
      sender.identity.controlAddress,
    );
  }

  #send(commands: SendDigest[]): void {
    for (const { peer, bytes } of commands) {
      this.#socket?.send(peer.identity.controlAddress, bytes);
    }
  }

  /**
   * Reads the host list; after a failed read, the last data read stays in use.
   * The first time, peers are queried for their members as well.
   */
  async #readHosts(nowMs: number): Promise<void> {
    for (const member of await this.#hostList.read(nowMs)) {
      const urgency = "state" as const;
      setPending(this.#gossip, member, { origin: "received", urgency });
    }
    this.#send(sendDueDigests(this.#gossip, this.#options.timers.nowMs()));
    if (this.#ready.isSettled) return;
    this.#isQueryingPeers = true;
    const known = await loadMembers({
      addresses: this.listRouterAddresses(),
      getPeer: this.#options.getPeer,
      warn: (event, thrown) => this.#warn(event, thrown),
    });
    mergeKnownMembers(this.#tables, known, this.#options.timers.nowMs());
    this.#isQueryingPeers = false;
    this.#ready.settle();
  }

  #observeAnsweredVersion(runner: string, headers: IncomingHttpHeaders): void {
    const version = readConfigurationVersion(headers);
    const address = this.runners.get(runner)?.controlAddress;
    if (version === undefined || address === undefined) return;
    this.#observeVersion(version, address);
  }

  #readLoad(): void {
    const { getLoadTokens, timers } = this.#options;
    if (getLoadTokens === undefined) return;
    setOwnLoad(this.#gossip, getLoadTokens());
    getOwnRecord(this.#gossip, timers.nowMs());
  }

  #warn(event: string, thrown: unknown): void {
    const error = normalizeError(thrown);
    this.#options.logger.warn(event, {
      code: error.code,
      detail: error.message,
    });
  }
}
