import {
  type ChatHint,
  ChatHints,
  chooseLongerHint,
  type PoolView,
  rankRunners,
  selectHintOwners,
} from "@jasminetide/core/routing";
import type { RunnerId } from "@jasminetide/core/tables";
import { EngineFake } from "./engine.ts";
import type { EventQueue } from "./event_queue.ts";
import { HeldTurns } from "./held_turns.ts";
import type { Mechanisms } from "./policies.ts";
import { choosePath } from "./choose_path.ts";
import { hasRoom } from "./load_room.ts";
import { hopMs } from "./scenario.ts";
import type { Turn } from "./traffic.ts";

/** What a router asks of a sidecar. */
export type TurnRequest = {
  turn: Turn;
  /** Whether the sidecar may send the router to the holder of the cache. */
  canRedirect: boolean;
  /** Whether only the load cap applies, not the spill bound. */
  isLastResort: boolean;
  /** Whether a home's sidecar has named this one as the holder. */
  isNamedHolder: boolean;
  /** Runner that an all-knowing router names as the holder. */
  source?: RunnerId | undefined;
};

/** What a sidecar decides. */
export type TurnOutcome =
  | { type: "admitted"; cachedTokens: number; delayMs: number }
  | { type: "refused"; holder?: RunnerId | undefined }
  | { type: "redirected"; holder: RunnerId };

/** What a sidecar is made of. */
export type SidecarNodeOptions = {
  id: RunnerId;
  events: EventQueue;
  mechanisms: Mechanisms;
  pool: PoolView;
  findPeer: (id: RunnerId) => SidecarNode | undefined;
};

const maxHints = 200_000;
const hintRetentionMs = 4 * 3_600_000;

/** One sidecar with the engine beside it. */
export class SidecarNode {
  readonly id: RunnerId;
  readonly pool: PoolView;
  readonly engine: EngineFake;
  readonly held: HeldTurns;
  state: "active" | "leaving" | "down" = "active";
  startedAtMs = 0;
  loadTokens = 0;
  /** Work on its way to this sidecar, which only an oracle knows. */
  incomingTokens = 0;
  readonly #options: SidecarNodeOptions;
  #hints: ChatHints;
  #announcedVersion = 0;
  #handleChange: (nowMs: number) => void = () => {};

  private constructor(options: SidecarNodeOptions) {
    this.id = options.id;
    this.pool = options.pool;
    this.#options = options;
    this.engine = EngineFake.create(options.events);
    this.held = HeldTurns.create(options.events);
    this.#hints = this.#createHints();
  }

  /** Creates a sidecar with an idle engine. */
  static create(options: SidecarNodeOptions): SidecarNode {
    return new SidecarNode(options);
  }

  /** Whether a turn has to wait here before it is admitted. */
  canHold(turn: Turn): boolean {
    return this.state === "active" && turn.isDeferrable &&
      this.#options.mechanisms.peakHoldBack;
  }

  /** Decides on a turn; an admitted one counts as load from here on. */
  admit(request: TurnRequest): TurnOutcome {
    if (this.state !== "active") return { type: "refused" };
    const { turn } = request;
    const known = this.#findHint(turn);
    if (!this.#canAdmit(request)) {
      const holder = known?.runner === this.id ? undefined : known?.runner;
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
    const askedMs = source === undefined ? 0 : 2 * hopMs;
    if (path !== "transfer" || source === undefined) {
      return { type: "admitted", cachedTokens: localTokens, delayMs: askedMs };
    }
    const { nowMs } = this.#options.events;
    const heldTokens = source.peer.engine.getCachedTokens(turn);
    const missingTokens = Math.max(0, heldTokens - localTokens);
    const endMs = source.peer.engine.beginTransfer(missingTokens, { nowMs });
    return {
      type: "admitted",
      cachedTokens: Math.max(localTokens, heldTokens),
      delayMs: endMs - nowMs + askedMs,
    };
  }

  /** Records work that a router has sent, or with a minus that arrived. */
  recordIncoming(tokens: number): void {
    this.incomingTokens += tokens;
  }

  /** Records that an admitted turn has ended. */
  release(turn: Turn): void {
    this.loadTokens = Math.max(0, this.loadTokens - turn.costTokens);
  }

  /** Records that another runner takes a chat; says where it was held. */
  claim(key: bigint, claim: ChatHint): ChatHint | undefined {
    const known = this.state === "down" ? undefined : this.#hints.find(key);
    this.#hints.record(key, claim);
    return known;
  }

  /** Says where a chat is held as far as this sidecar knows. */
  findHint(key: bigint) {
    return this.#hints.find(key);
  }

  /** Takes in where a chat is held unless a longer prefix is known. */
  offerHint(key: bigint, hint: ChatHint): void {
    if (this.state !== "down") this.#hints.offer(key, hint);
  }

  /**
   * Tells the keepers of the chats held here after the runners that take work
   * have changed. A restarted keeper gets its hints back in this way.
   */
  announceChats(): void {
    const { version } = this.pool;
    if (version === this.#announcedVersion || this.state === "down") return;
    this.#announcedVersion = version;
    if (!this.#options.mechanisms.spillHints) return;
    for (const [key, tokens] of this.engine.chats) {
      this.#listKeepers(key)[0]?.offerHint(key, { runner: this.id, tokens });
    }
  }

  /**
   * Tells where the chats held here are, and moves them to the runners that
   * will be their homes, the most recently used first.
   */
  exportChats(nowMs: number): void {
    if (!this.#options.mechanisms.kvTransfer) return;
    for (const [key, hint] of this.#hints.entries()) {
      this.#listKeepers(key)[0]?.offerHint(key, hint);
    }
    this.#exportNext([...this.engine.chats].reverse(), nowMs);
  }

  /** Exports one chat after the other, so that turns can go in between. */
  #exportNext(chats: [bigint, number][], nowMs: number): void {
    const chat = chats.pop();
    if (chat === undefined || this.state === "down") return;
    const [key, tokens] = chat;
    const target = this.#listKeepers(key).at(0);
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

  /** Calls a handler when the sidecar starts, so that its record goes out. */
  subscribe(handler: (nowMs: number) => void): void {
    this.#handleChange = handler;
  }

  /** Stops at once; cache, hints and requests in flight are lost. */
  stop(nowMs: number): void {
    this.state = "down";
    this.loadTokens = 0;
    this.#hints = this.#createHints();
    this.held.refuseAll();
    this.engine.fail(nowMs);
  }

  #canAdmit(request: TurnRequest): boolean {
    if (!this.#options.mechanisms.boundedLoad) return true;
    return hasRoom(this, {
      costTokens: request.turn.costTokens,
      isLastResort: request.isLastResort,
      nowMs: this.#options.events.nowMs,
    });
  }

  #findHint(turn: Turn) {
    if (!this.#options.mechanisms.spillHints) return undefined;
    return this.#hints.find(turn.key);
  }

  /** Finds the peer that holds the chat, asking the keeper of its hint. */
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
    const isSure = isHeldHere && (request.isNamedHolder || this.#isHome(turn));
    const told = isSure ? undefined : this.#claim(turn, claim);
    const hint = chooseLongerHint(own, told);
    if (hint === undefined || hint.runner === this.id) return undefined;
    return this.#getSource(hint.runner, hint.tokens);
  }

  #isHome(turn: Turn): boolean {
    return rankRunners(turn.key, this.pool.members, { count: 1 })[0]?.id ===
      this.id;
  }

  /** Records here and at the keeper that the chat stays where it is. */
  #recordHolder(turn: Turn, source: Source): void {
    const hint = {
      runner: source.peer.id,
      tokens: turn.promptTokens + turn.answerTokens,
    };
    this.#hints.record(turn.key, hint);
    this.#listKeepers(turn.key)[0]?.claim(turn.key, hint);
  }

  /** Claims a chat at its keepers until one knows where it was held. */
  #claim(turn: Turn, claim: ChatHint): ChatHint | undefined {
    if (turn.index === 0) {
      this.#listKeepers(turn.key)[0]?.claim(turn.key, claim);
      return undefined;
    }
    for (const keeper of this.#listKeepers(turn.key)) {
      const hint = keeper.claim(turn.key, claim);
      if (hint !== undefined && hint.runner !== this.id) return hint;
    }
    return undefined;
  }

  /** Lists the sidecars that keep, or will keep, the hint of a chat. */
  #listKeepers(key: bigint): SidecarNode[] {
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

/** A peer that holds a chat, with the tokens that it is said to hold. */
export type Source = { peer: SidecarNode; tokens: number };
