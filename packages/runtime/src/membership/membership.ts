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
import { isPromptReader } from "./host_list.ts";
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
  readAnsweredVersion,
} from "./merge_answer_record.ts";
import { WireIdIndex } from "./wire_id_index.ts";

/** Called when a member holds a configuration version. */
export type VersionObserver = (version: number, controlAddress: string) => void;

/** What membership is started with. */
export type MembershipOptions = {
  identity: MemberIdentity;
  epoch: number;
  capacity: number;
  limits: MembershipLimits;
  timers: TimerService;
  random: RandomSource;
  logger: Logger;
  platform: PlatformClient;
  /** Shared secret of the fleet's datagrams. */
  digestKey: string;
  /** Gets the load of the runner beside this process. */
  getLoadTokens?: () => number;
  getPeer: (controlAddress: string) => PeerClient;
  /** Peers that are asked for members while the platform is down. */
  peerAddresses: readonly string[];
};

/** What this process tells of itself. */
export type OwnState = { loadTokens?: number; isLeaving?: boolean };

/** The members that one process knows, with its own record among them. */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #tables: MembershipTables;
  readonly #spreader: GossipState;
  readonly #resources = ResourceStack.create();
  readonly #leaving = LeavingRunners.create();
  readonly #wireIds: WireIdIndex;
  #socket: DatagramSocket | undefined;
  readonly #hostList: HostListReader;
  #observeVersion: VersionObserver = () => {};
  readonly #ready = createDeferred();
  /** Whether peers are being asked for what they know. */
  #isAsking = false;

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
    this.#spreader = createGossipState({
      tables: this.#tables,
      scheme: createRotatingScheme(options.random),
      nowMs,
      phaseMs: options.random.getInteger(options.limits.digestPeriodMs),
    });
  }

  /** Binds the socket, begins to read the host list and to spread digests. */
  static async create(options: MembershipOptions): Promise<Membership> {
    const membership = new Membership(options);
    await membership.#start();
    return membership;
  }

  /** Runners by name. */
  get runners(): Table<string, RunnerRow> {
    return this.#tables.runners;
  }

  /** Members by number, this process among them. */
  get members(): Table<number, MemberRow> {
    return this.#tables.members;
  }

  /** Settles once members were asked for, whether or not any answered. */
  get whenReady(): Promise<void> {
    return this.#ready.promise;
  }

  /** Pools that the runner beside this process serves. */
  get ownPools(): readonly string[] {
    return this.#tables.self.identity.runner?.pools ?? [];
  }

  /** `ip:port` for peers. */
  get controlAddress(): string {
    return this.#options.identity.controlAddress;
  }

  /** Whether this process is known to leave, by itself or by others. */
  get isLeaving(): boolean {
    return isLeaving(this.#tables.self);
  }

  /** Whether this process is one of the few that watch the platform. */
  get isWatcher(): boolean {
    return isPromptReader(this.#tables);
  }

  /** Whether a runner takes new work. */
  get hasActiveRunner(): boolean {
    return [...this.runners.rows()].some((row) => row.state === "active");
  }

  /**
   * Gets the runners that take new work for a model or service, without those
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
   * Gets the mean load over the runners of a pool, or of any of several pools,
   * with its age and error bound.
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

  /** Sets what this process tells of itself. */
  setOwn(state: OwnState): void {
    if (state.loadTokens !== undefined) {
      setOwnLoad(this.#spreader, state.loadTokens);
    }
    if (state.isLeaving === true) {
      setOwnLeaving(this.#spreader);
      this.#tick();
    }
  }

  /** Sets who is told of the versions that members hold. */
  setVersionObserver(observe: VersionObserver): void {
    this.#observeVersion = observe;
  }

  /** Lists the control addresses of routers in random order, then seeds. */
  listRouterAddresses(): string[] {
    const { peerAddresses, random } = this.#options;
    const others = listOtherRouters(this.#tables, random);
    return [...new Set([...others, ...peerAddresses])];
  }

  /** Lists the routers that live and do not leave, this one among them. */
  listRouters(): LiveRouter[] {
    return listLiveRouters(this.#tables);
  }

  /** Lists the members with their records, for a process that starts. */
  listMembers(): KnownMember[] {
    return listKnownMembers(this.#tables, this.#options.timers.nowMs());
  }

  /** Sets what this process says of its runner. */
  setOwnRunner(state: { pools: string[]; engine: EngineState }): void {
    setOwnRunner(this.#spreader, state);
  }

  /** Raises the configuration version that peers are told. */
  setConfigurationVersion(version: number): void {
    setOwnVersion(this.#spreader, version);
  }

  /** Applies limits that came into force. */
  setLimits(limits: MembershipLimits): void {
    this.#tables.limits = limits;
  }

  /** Gets the headers that each answer of this process carries. */
  getAnswerHeaders(): { [name: string]: string } {
    this.#readLoad();
    const record = getOwnRecord(
      this.#spreader,
      this.#options.timers.nowMs(),
    );
    return { [headerNames.digest]: encodeAnswerRecord(record) };
  }

  /** Takes in the record that an answer of a runner's sidecar carries. */
  recordAnswer(runner: string, headers: IncomingHttpHeaders): void {
    const wireId = this.#wireIds.find(runner);
    this.#observeAnswer(runner, headers);
    if (wireId === undefined) return;
    try {
      mergeAnswerRecord(headers, {
        tables: this.#tables,
        spreader: this.#spreader,
        wireId,
        nowMs: this.#options.timers.nowMs(),
      });
    } catch (thrown) {
      this.#warn("answer-record-refused", thrown);
    }
  }

  /** Records that new work is about to be sent to a runner. */
  recordDispatch(runner: string): void {
    this.#leaving.assertDispatch(runner, this.#options.timers.nowMs());
  }

  /** Records that a runner did not answer; it is held back for a while. */
  recordFailure(runner: string): void {
    const wireId = this.#wireIds.find(runner);
    const member = wireId === undefined ? undefined : this.members.get(wireId);
    if (member === undefined) return;
    recordFailure(this.#tables, member, this.#options.timers.nowMs());
  }

  /** Gets figures for the dump of the process. */
  getSnapshot() {
    const { budget } = this.#spreader;
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
        refuse: (error) => this.#warn("datagram-refused", error),
      }),
    );
    this.#resources.use(timers.subscribe(tickPeriodMs, () => this.#tick()));
    this.#tick();
  }

  #tick(): void {
    const nowMs = this.#options.timers.nowMs();
    this.#readLoad();
    if (this.#hostList.isDue(nowMs) && !this.#isAsking) {
      void this.#readHosts(nowMs);
    }
    this.#leaving.observe(this.runners.rows(), nowMs);
    expireMembers(this.#tables, nowMs);
    expireFlaps(this.#tables, nowMs);
    this.#send(sendDueDigests(this.#spreader, nowMs));
  }

  #receive(bytes: Uint8Array): void {
    const digest = decodeDigest(bytes);
    const nowMs = this.#options.timers.nowMs();
    this.#send(receiveDigest(this.#spreader, digest, nowMs));
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

  /** Reads the host list; on failure what is known stays. */
  async #readHosts(nowMs: number): Promise<void> {
    for (const member of await this.#hostList.read(nowMs)) {
      const urgency = "state" as const;
      setPending(this.#spreader, member, { origin: "received", urgency });
    }
    this.#send(sendDueDigests(this.#spreader, this.#options.timers.nowMs()));
    if (this.#ready.isSettled) return;
    this.#isAsking = true;
    const known = await loadMembers({
      addresses: this.listRouterAddresses(),
      getPeer: this.#options.getPeer,
      warn: (event, thrown) => this.#warn(event, thrown),
    });
    mergeKnownMembers(this.#tables, known, this.#options.timers.nowMs());
    this.#isAsking = false;
    this.#ready.settle();
  }

  #observeAnswer(runner: string, headers: IncomingHttpHeaders): void {
    const version = readAnsweredVersion(headers);
    const address = this.runners.get(runner)?.controlAddress;
    if (version === undefined || address === undefined) return;
    this.#observeVersion(version, address);
  }

  #readLoad(): void {
    const { getLoadTokens, timers } = this.#options;
    if (getLoadTokens === undefined) return;
    setOwnLoad(this.#spreader, getLoadTokens());
    getOwnRecord(this.#spreader, timers.nowMs());
  }

  #warn(event: string, thrown: unknown): void {
    const error = normalizeError(thrown);
    this.#options.logger.warn(event, {
      code: error.code,
      detail: error.message,
    });
  }
}
