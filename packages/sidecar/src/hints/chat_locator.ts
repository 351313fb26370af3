import type { Settings } from "@jasminetide/core/configuration";
import {
  ChatHints,
  getLoadBoundTokens,
  rankRunners,
} from "@jasminetide/core/routing";
import type { RunnerId, RunnerRow } from "@jasminetide/core/tables";
import type { TimerService } from "@jasminetide/core/timers";

/** Runners of the pool and their mean load, as membership knows them. */
export type PoolSource = {
  getCandidates(pool: string): RunnerRow[];
  getPoolMean(pool: string): { tokens: number };
};

/** That a chat is held by a runner, as one sidecar tells another. */
export type ChatClaim = {
  /** Chat key in hexadecimal. */
  chatKey: string;
  runner: RunnerId;
  /** Tokens of the prefix that the runner will hold. */
  tokens: number;
};

/** What a locator works with. */
export type ChatLocatorOptions = {
  /** Runner beside this sidecar. */
  self: RunnerId;
  source: PoolSource;
  timers: TimerService;
  getLoadSettings: () => Settings["load"];
  /** Tells a home where some of its chats are; must not throw. */
  sendClaims: (home: RunnerRow, claims: ChatClaim[]) => void;
};

/** Chats of which one announcement tells one home. */
export const maximumAnnounced = 256;

/** A turn that has reached this sidecar. */
export type LocatedTurn = { chatKey: string; pool: string; costTokens: number };

const maxHints = 50_000;

/** Hints live as long as chats commonly pause. */
const hintRetentionMs = 4 * 3_600_000;

/** Key of requests that belong to no chat. */
const noChatKey = "0";

/**
 * Knows where chats are held whose home is this runner, and tells other homes
 * which of their chats are here.
 */
export class ChatLocator {
  readonly #options: ChatLocatorOptions;
  readonly #hints: ChatHints;
  #announcedMembers = "";

  private constructor(options: ChatLocatorOptions) {
    this.#options = options;
    this.#hints = ChatHints.create({
      maximumHints: maxHints,
      retentionMs: hintRetentionMs,
      getNowMs: () => options.timers.nowMs(),
    });
  }

  /** Creates a locator that knows of no chat. */
  static create(options: ChatLocatorOptions): ChatLocator {
    return new ChatLocator(options);
  }

  /** Chats of which this sidecar knows where they are. */
  get size(): number {
    return this.#hints.size;
  }

  /** Records where a chat is held, unless a longer prefix is known. */
  recordClaim(claim: ChatClaim): void {
    const { runner, tokens } = claim;
    const key = parseChatKey(claim.chatKey);
    const known = this.#hints.find(key);
    if (known !== undefined && known.tokens > tokens) return;
    this.#hints.record(key, { runner, tokens });
  }

  /**
   * Finds the runner that should get a turn instead of this one: the holder of
   * the chat's cache, when this is the chat's home and the holder has room.
   */
  findHolder(turn: LocatedTurn): RunnerId | undefined {
    if (turn.chatKey === noChatKey) return undefined;
    const key = parseChatKey(turn.chatKey);
    const hint = this.#hints.find(key);
    if (hint === undefined || hint.runner === this.#options.self) {
      return undefined;
    }
    const runners = this.#options.source.getCandidates(turn.pool);
    if (!this.#isHome(this.#findHome(key, runners))) return undefined;
    const holder = runners.find((runner) => runner.id === hint.runner);
    if (holder === undefined || !this.#hasRoom(holder, turn)) return undefined;
    return holder.id;
  }

  /** Records that a turn runs here, and tells the chat's home. */
  recordHeld(turn: LocatedTurn): void {
    if (turn.chatKey === noChatKey) return;
    const { self, sendClaims, source } = this.#options;
    const key = parseChatKey(turn.chatKey);
    const claim = {
      chatKey: turn.chatKey,
      runner: self,
      tokens: turn.costTokens,
    };
    this.#hints.record(key, { runner: self, tokens: turn.costTokens });
    const home = this.#findHome(key, source.getCandidates(turn.pool));
    if (home !== undefined && !this.#isHome(home)) sendClaims(home, [claim]);
  }

  /**
   * Tells homes where their chats are after a runner of the pool has come or
   * gone, the most recently used first. A restarted home gets its hints back in
   * this way, and a leaving one hands them over.
   */
  announce(pool: string): void {
    const runners = this.#options.source.getCandidates(pool);
    const members = runners.map(({ id, epoch }) => `${id}/${epoch}`).sort()
      .join();
    if (members === this.#announcedMembers) return;
    this.#announcedMembers = members;
    const claimsByHome = new Map<RunnerRow, ChatClaim[]>();
    for (const [key, hint] of this.#hints.entries()) {
      const home = this.#findHome(key, runners);
      if (home === undefined || this.#isHome(home)) continue;
      const claims = claimsByHome.get(home) ?? [];
      claimsByHome.set(home, claims);
      if (claims.length >= maximumAnnounced) continue;
      const { runner, tokens } = hint;
      claims.push({ chatKey: key.toString(16), runner, tokens });
    }
    for (const [home, claims] of claimsByHome) {
      this.#options.sendClaims(home, claims);
    }
  }

  #findHome(key: bigint, runners: readonly RunnerRow[]): RunnerRow | undefined {
    return rankRunners(key, runners, { count: 1 })[0];
  }

  #isHome(home: RunnerRow | undefined): boolean {
    return home === undefined || home.id === this.#options.self;
  }

  #hasRoom(holder: RunnerRow, turn: LocatedTurn): boolean {
    const { getLoadSettings, source } = this.#options;
    const { minimumTokens, spillMultiple } = getLoadSettings();
    const boundTokens = getLoadBoundTokens({
      meanTokens: source.getPoolMean(turn.pool).tokens,
      multiple: spillMultiple,
      minimumTokens,
      capacity: holder.capacity,
    });
    return holder.loadTokens + turn.costTokens <= boundTokens;
  }
}

function parseChatKey(text: string): bigint {
  return BigInt(`0x${text}`);
}
