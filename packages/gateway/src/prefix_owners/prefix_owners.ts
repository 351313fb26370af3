import { hash32, mix32 } from "@jasminetide/core/hashing";
import type { PrefixHolders } from "@jasminetide/core/pools";
import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";
import {
  type DatagramMessage,
  getProcessTag,
  type HolderReport,
} from "../datagrams/mod.ts";
import type { Directory, Upstream } from "../upstreams/mod.ts";

/** A gateway that takes datagrams. */
export type DatagramPeer = {
  /** `hash32` of its name. */
  nameHash: number;
  /** `ip:port`. */
  address: string;
};

/** Options of the owners of prefixes. */
export type PrefixOwnersOptions = {
  timers: TimerService;
  directory: Directory;
  /** Engines that this gateway believes to hold prefixes. */
  holders: PrefixHolders;
  /** `hash32` of this gateway's name. */
  selfHash: number;
  /** The other gateways; empty if none is asked. */
  listPeers: () => readonly DatagramPeer[];
  /** Sends a message that may be lost. */
  send: (message: DatagramMessage, address: string) => void;
};

/** A call to an owner that has not been answered. */
type PendingCall = {
  owner: DatagramPeer;
  prefixId: string;
  resolve: () => void;
  timer: TimerSubscription;
};

/**
 * Pools what gateways know of the engines that hold prefixes: each prefix has one
 * gateway, its owner by rendezvous hashing, that is told of each placement and
 * asked before one. It is soft state; without an answer a gateway goes on with
 * what it knows.
 */
export class PrefixOwners {
  readonly #options: PrefixOwnersOptions;
  readonly #calls = new Map<number, PendingCall>();
  /** Times until which owners that did not answer are not asked, by address. */
  readonly #silentUntilMs = new Map<string, number>();
  #lastCallId = 0;

  private constructor(options: PrefixOwnersOptions) {
    this.#options = options;
  }

  /** Creates the owners of a gateway that has asked nothing. */
  static create(options: PrefixOwnersOptions): PrefixOwners {
    return new PrefixOwners(options);
  }

  /**
   * Asks the owner of a prefix for its holders, unless this gateway owns it or
   * knows one; resolves when they are known, or after a short time without them.
   */
  async learn(prefixId: string): Promise<void> {
    const { holders, send, timers } = this.#options;
    if (holders.getHolders(prefixId, timers.nowMs()).size > 0) return;
    const owner = this.#findOwner(prefixId);
    if (owner === undefined) return;
    this.#lastCallId += 1;
    const callId = this.#lastCallId;
    await new Promise<void>((resolve) => {
      const timer = timers.schedule(
        answerLimitMs,
        () => this.#recordSilence(callId),
      );
      this.#calls.set(callId, { owner, prefixId, resolve, timer });
      send({ type: "askHolders", callId, prefixId }, owner.address);
    });
  }

  /** Records that an engine is sent a prompt with a prefix; tells the owner. */
  record(prefixId: string, upstream: Upstream): void {
    const { holders, send, timers } = this.#options;
    const nowMs = timers.nowMs();
    const ageMs = holders.getAgeMs(prefixId, upstream.id, nowMs);
    holders.record(prefixId, upstream.id, nowMs);
    if (ageMs < refreshMs) return;
    const owner = this.#findOwner(prefixId);
    if (owner === undefined) return;
    const holder = describeHolder(upstream, 0);
    send({ type: "recordHolder", prefixId, holder }, owner.address);
  }

  /** Takes in a message of another gateway. */
  receive(message: DatagramMessage, from: string): void {
    const { holders, send, timers } = this.#options;
    const nowMs = timers.nowMs();
    switch (message.type) {
      case "askHolders": {
        const known = holders.listHolders(message.prefixId, nowMs)
          .flatMap(({ ageMs, runnerId }) => {
            const upstream = this.#options.directory.find(runnerId);
            return upstream ? [describeHolder(upstream, ageMs)] : [];
          });
        const { callId } = message;
        send({ type: "tellHolders", callId, holders: known }, from);
        return;
      }
      case "tellHolders":
        this.#applyAnswer(message.callId, message.holders);
        return;
      case "recordHolder":
        this.#recordHolder(message.prefixId, message.holder, nowMs);
        return;
      case "loads":
        return;
    }
  }

  [Symbol.dispose](): void {
    for (const { resolve, timer } of this.#calls.values()) {
      timer[Symbol.dispose]();
      resolve();
    }
    this.#calls.clear();
  }

  #applyAnswer(callId: number, reports: readonly HolderReport[]): void {
    const call = this.#takeCall(callId);
    if (call === undefined) return;
    const nowMs = this.#options.timers.nowMs();
    // The latest comes first in what is told, and last in what is recorded.
    for (const report of reports.toReversed()) {
      this.#recordHolder(call.prefixId, report, nowMs);
    }
    call.resolve();
  }

  #recordSilence(callId: number): void {
    const call = this.#takeCall(callId);
    if (call === undefined) return;
    const untilMs = this.#options.timers.nowMs() + silencePauseMs;
    this.#silentUntilMs.set(call.owner.address, untilMs);
    call.resolve();
  }

  #takeCall(callId: number): PendingCall | undefined {
    const call = this.#calls.get(callId);
    this.#calls.delete(callId);
    call?.timer[Symbol.dispose]();
    return call;
  }

  #recordHolder(
    prefixId: string,
    { ageMs, processTag, runnerHash }: HolderReport,
    nowMs: number,
  ): void {
    const { directory, holders } = this.#options;
    const upstream = directory.findByHash(runnerHash);
    if (upstream === undefined) return;
    if (getProcessTag(upstream.record.startedAtMs) !== processTag) return;
    holders.record(prefixId, upstream.id, nowMs - ageMs);
  }

  /** Finds the owner of a prefix; undefined if it is this gateway. */
  #findOwner(prefixId: string): DatagramPeer | undefined {
    const { listPeers, selfHash, timers } = this.#options;
    const key = hash32(prefixId);
    const nowMs = timers.nowMs();
    let owner: DatagramPeer | undefined;
    let highest = mix32(key, selfHash);
    for (const peer of listPeers()) {
      const weight = mix32(key, peer.nameHash);
      if (weight <= highest) continue;
      if (nowMs < (this.#silentUntilMs.get(peer.address) ?? 0)) continue;
      owner = peer;
      highest = weight;
    }
    return owner;
  }
}

function describeHolder(
  { idHash, record }: Upstream,
  ageMs: number,
): HolderReport {
  const processTag = getProcessTag(record.startedAtMs);
  return { runnerHash: idHash, processTag, ageMs };
}

/** Time that a request waits for an owner's answer. */
const answerLimitMs = 20;

/** Time for which an owner that did not answer is not asked. */
const silencePauseMs = 1000;

/** Age from which an owner is told of a holder again. */
const refreshMs = 15_000;
