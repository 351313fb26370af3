import {
  type ChatHint,
  ChatHints,
  chooseLongerHint,
  type PoolView,
  rankRunners,
  selectHintOwners,
} from "@jasminetide/core/routing";
import type { RunnerId } from "@jasminetide/core/tables";
import { SimulatedEngine } from "./engine.ts";
import type { EventQueue } from "./event_queue.ts";
import { HeldTurns } from "./held_turns.ts";
import type { Mechanisms } from "./policies.ts";
import { choosePath } from "./choose_path.ts";
import { hasHeadroom } from "./load_headroom.ts";
import { hopMs } from "./scenario.ts";
import type { Turn } from "./traffic.ts";

/** A router's request to admit a turn. */
export type TurnRequest = {
  turn: Turn;
  /** Whether the sidecar may redirect the turn to the holder of the cache. */
  canRedirect: boolean;
  /** Whether to apply the load cap instead of the lower refusal bound. */
  isLastResort: boolean;
  /** Whether another sidecar has named this one as the holder. */
  isNamedHolder: boolean;
  /** Holder of the chat according to the all-knowing policy. */
  source?: RunnerId | undefined;
};

/** A sidecar's decision on a turn. */
export type TurnOutcome =
  | { type: "admitted"; cachedTokens: number; delayMs: number }
  | { type: "refused"; holder?: RunnerId | undefined }
  | { type: "redirected"; holder: RunnerId };

/** Dependencies of a sidecar. */
export type SidecarNodeOptions = {
  id: RunnerId;
  events: EventQueue;
  mechanisms: Mechanisms;
  pool: PoolView;
  findPeer: (id: RunnerId) => SidecarNode | undefined;
};

const maxHints = 200_000;
const hintRetentionMs = 4 * 3_600_000;

/** One sidecar with its engine. */
export class SidecarNode {
  readonly id: RunnerId;
  readonly pool: PoolView;
  readonly engine: SimulatedEngine;
  readonly held: HeldTurns;
  state: "active" | "leaving" | "down" = "active";
  startedAtMs = 0;
  loadTokens = 0;
  /** Work that is being sent to this sidecar; only the oracle reads it. */
  incomingTokens = 0;
  readonly #options: SidecarNodeOptions;
  #hints: ChatHints;
  #announcedVersion = 0;
  #handleChange: (nowMs: number) => void = () => {};

  private constructor(options: SidecarNodeOptions) {
    this.id = options.id;
    this.pool = options.pool;
    this.#options = options;
    this.engine = SimulatedEngine.create(options.events);
    this.held = HeldTurns.create(options.events);
    this.#hints = this.#createHints();
  }

  /** Creates a sidecar with an idle engine. */
  static create(options: SidecarNodeOptions): SidecarNode {
    return new SidecarNode(options);
  }

  /** Whether a turn can be held back here before it is admitted. */
  canHold(turn: Turn): boolean {
    return this.state === "active" && turn.isDeferrable &&
      this.#options.mechanisms.peakHoldBack;
  }

  /** Decides on a turn and adds an admitted one to the load. */
  admit(request: TurnRequest): TurnOutcome {
    if (this.state !== "active") return { type: "refused" };
    const { turn } = request;
    const hint = this.#findHint(turn);
    if (!this.#canAdmit(request)) {
      const holder = hint?.runner === this.id ? undefined : hint?.runner;
      return { type: "refused", holder };
    }
    const localTokens = this.engine.getCachedTokens(turn);
    const source = this.#findSource(request);
    const path = choosePath(request, {
      source,
      localTokens,
      pool: this.pool,
      canTransfer: this.#options.mechanisms.kvTransfer,
      nowMs: this.#options.events.nowMs,
    });
    if (path === "redirect" && source !== undefined) {
      this.#recordHolder(turn, source);
      return { type: "redirected", holder: source.peer.id };
    }
    this.loadTokens += turn.costTokens;
    this.#hints.record(turn.key, {
      runner: this.id,
      tokens: turn.promptTokens + turn.answerTokens,
    });
    const queryMs = source === undefined ? 0 : 2 * hopMs;
    if (path !== "transfer" || source === undefined) {
      return { type: "admitted", cachedTokens: localTokens, delayMs: queryMs };
    }
    const { nowMs } = this.#options.events;
    const heldTokens = source.peer.engine.getCachedTokens(turn);
    const missingTokens = Math.max(0, heldTokens - localTokens);
    const endMs = source.peer.engine.beginTransfer(missingTokens, { nowMs });
    return {
      type: "admitted",
      cachedTokens: Math.max(localTokens, heldTokens),
      delayMs: endMs - nowMs + queryMs,
    };
  }

  /** Adds tokens that a router sends; negative when they have arrived. */
  recordIncoming(tokens: number): void {
    this.incomingTokens += tokens;
  }

  /** Records that an admitted turn has ended. */
  release(turn: Turn): void {
    this.loadTokens = Math.max(0, this.loadTokens - turn.costTokens);
  }

  /** Records that a runner takes a chat; returns the previous hint. */
  claim(key: bigint, claim: ChatHint): ChatHint | undefined {
    const previous = this.state === "down" ? undefined : this.#hints.find(key);
    this.#hints.record(key, claim);
    return previous;
  }

  /** Finds this sidecar's hint for a chat. */
  findHint(key: bigint) {
    return this.#hints.find(key);
  }

  /** Records a hint for a chat unless a stored hint has a longer prefix. */
  offerHint(key: bigint, hint: ChatHint): void {
    if (this.state !== "down") this.#hints.offer(key, hint);
  }

  /**
   * Sends the hints for the chats held here to their owners if the members of
   * the pool have changed. A restarted owner recovers its hints in this way.
   */
  announceChats(): void {
    const { version } = this.pool;
    if (version === this.#announcedVersion || this.state === "down") return;
    this.#announcedVersion = version;
    if (!this.#options.mechanisms.spillHints) return;
    for (const [key, tokens] of this.engine.chats) {
      this.#listHintOwners(key)[0]?.offerHint(key, { runner: this.id, tokens });
    }
  }

  /**
   * Sends all hints to their next owners and moves the chats held here to the
   * runners that become their homes, the most recently used first.
   */
  exportChats(nowMs: number): void {
    if (!this.#options.mechanisms.kvTransfer) return;
    for (const [key, hint] of this.#hints.entries()) {
      this.#listHintOwners(key)[0]?.offerHint(key, hint);
    }
    this.#exportNext([...this.engine.chats].reverse(), nowMs);
  }

  /** Exports chats one at a time, so that other transfers can run between. */
  #exportNext(chats: [bigint, number][], nowMs: number): void {
    const chat = chats.pop();
    if (chat === undefined || this.state === "down") return;
    const [key, tokens] = chat;
    const target = this.#listHintOwners(key).at(0);
    const endMs = this.engine.beginTransfer(tokens, { nowMs, isBulk: true });
    this.#options.events.schedule(endMs, (atMs) => {
      if (this.state !== "down" && target?.state === "active") {
        target.engine.importChat(key, tokens);
        target.offerHint(key, { runner: target.id, tokens: tokens + 1 });
      }
      this.#exportNext(chats, atMs);
    });
  }

  /** Starts again with an empty cache. */
  start(nowMs: number): void {
    this.state = "active";
    this.startedAtMs = nowMs;
    this.#handleChange(nowMs);
  }

  /** Sets the handler for a start of the sidecar, which sends its record. */
  subscribe(handler: (nowMs: number) => void): void {
    this.#handleChange = handler;
  }

  /** Stops immediately; cache, hints and requests in flight are lost. */
  stop(nowMs: number): void {
    this.state = "down";
    this.loadTokens = 0;
    this.#hints = this.#createHints();
    this.held.refuseAll();
    this.engine.fail(nowMs);
  }

  #canAdmit(request: TurnRequest): boolean {
    if (!this.#options.mechanisms.boundedLoad) return true;
    return hasHeadroom(this, {
      costTokens: request.turn.costTokens,
      isLastResort: request.isLastResort,
      nowMs: this.#options.events.nowMs,
    });
  }

  #findHint(turn: Turn) {
    if (!this.#options.mechanisms.spillHints) return undefined;
    return this.#hints.find(turn.key);
  }

  /** Finds the peer that holds the chat, if needed through the hint owner. */
  #findSource(request: TurnRequest): Source | undefined {
    const { turn } = request;
    if (request.source !== undefined) {
      return this.#getSource(request.source, turn.promptTokens);
    }
    if (!this.#options.mechanisms.spillHints) return undefined;
    const own = this.#hints.find(turn.key);
    const claim = {
      runner: this.id,
      tokens: turn.promptTokens + turn.answerTokens,
    };
    const isHeldHere = own?.runner === this.id;
    const isConfirmedHolder = isHeldHere &&
      (request.isNamedHolder || this.#isHome(turn));
    const claimed = isConfirmedHolder ? undefined : this.#claim(turn, claim);
    const hint = chooseLongerHint(own, claimed);
    if (hint === undefined || hint.runner === this.id) return undefined;
    return this.#getSource(hint.runner, hint.tokens);
  }

  #isHome(turn: Turn): boolean {
    return rankRunners(turn.key, this.pool.members, { count: 1 })[0]?.id ===
      this.id;
  }

  /** Records here and at the hint owner that the holder keeps the chat. */
  #recordHolder(turn: Turn, source: Source): void {
    const hint = {
      runner: source.peer.id,
      tokens: turn.promptTokens + turn.answerTokens,
    };
    this.#hints.record(turn.key, hint);
    this.#listHintOwners(turn.key)[0]?.claim(turn.key, hint);
  }

  /** Claims a chat at its hint owners until one returns another holder. */
  #claim(turn: Turn, claim: ChatHint): ChatHint | undefined {
    if (turn.index === 0) {
      this.#listHintOwners(turn.key)[0]?.claim(turn.key, claim);
      return undefined;
    }
    for (const owner of this.#listHintOwners(turn.key)) {
      const hint = owner.claim(turn.key, claim);
      if (hint !== undefined && hint.runner !== this.id) return hint;
    }
    return undefined;
  }

  /** Lists the reachable owners of the hint for a chat. */
  #listHintOwners(key: bigint): SidecarNode[] {
    const ids = selectHintOwners(key, {
      self: this.id,
      runners: this.pool.members,
    });
    return ids.map((id) => this.#options.findPeer(id))
      .filter((peer): peer is SidecarNode =>
        peer !== undefined && peer.state !== "down"
      );
  }

  #getSource(id: RunnerId, tokens: number): Source | undefined {
    const peer = this.#options.findPeer(id);
    if (peer === undefined || peer.state === "down" || peer === this) {
      return undefined;
    }
    return { peer, tokens };
  }

  #createHints(): ChatHints {
    return ChatHints.create({
      maximumHints: maxHints,
      retentionMs: hintRetentionMs,
      getNowMs: () => this.#options.events.nowMs,
    });
  }
}

/** A peer that holds a chat, with the tokens it holds according to the hint. */
export type Source = { peer: SidecarNode; tokens: number };
