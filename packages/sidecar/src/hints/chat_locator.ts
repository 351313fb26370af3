import type { Settings } from "@jasminetide/core/configuration";
import {
  ChatHints,
  getLoadBoundTokens,
  rankRunners,
} from "@jasminetide/core/routing";
import type { RunnerId, RunnerRow } from "@jasminetide/core/tables";
import type { TimerService } from "@jasminetide/core/timers";

/** Source of the runners of a pool and their mean load (the membership). */
export type PoolSource = {
  getCandidates(pool: string): RunnerRow[];
  getPoolMean(pool: string): { tokens: number };
};

/** Message between sidecars: the runner holds the cache of the chat. */
export type ChatClaim = {
  /** Chat key in hexadecimal. */
  chatKey: string;
  runner: RunnerId;
  /** Tokens of the prefix that the runner has cached after the turn. */
  tokens: number;
};

/** Dependencies of a chat locator. */
export type ChatLocatorOptions = {
  /** This sidecar's runner. */
  self: RunnerId;
  source: PoolSource;
  timers: TimerService;
  getLoadSettings: () => Settings["load"];
  /** Sends a home the holders of some of its chats; must not throw. */
  sendClaims: (home: RunnerRow, claims: ChatClaim[]) => void;
};

/** Maximum number of claims that one announcement sends to a home. */
export const maximumClaimsPerMessage = 256;

/** A turn of a chat; the chat key is in hexadecimal. */
export type ChatTurn = { chatKey: string; pool: string; costTokens: number };

/** Maximum number of hints that a sidecar stores. */
const maxHints = 50_000;

/** Retention of hints, as long as the usual pause within a chat. */
const hintRetentionMs = 4 * 3_600_000;

/** Chat key of requests that belong to no chat. */
const noChatKey = "0";

/**
 * Stores the holders of chats. For chats whose home is this runner it finds the
 * runner to redirect a turn to; for chats that run here and have another home,
 * it reports this runner to that home as the holder.
 */
export class ChatLocator {
  readonly #options: ChatLocatorOptions;
  readonly #hints: ChatHints;
  #announcedRunners = "";

  private constructor(options: ChatLocatorOptions) {
    this.#options = options;
    this.#hints = ChatHints.create({
      maximumHints: maxHints,
      retentionMs: hintRetentionMs,
      getNowMs: () => options.timers.nowMs(),
    });
  }

  /** Creates a locator without hints. */
  static create(options: ChatLocatorOptions): ChatLocator {
    return new ChatLocator(options);
  }

  /** Number of chats with a stored hint. */
  get size(): number {
    return this.#hints.size;
  }

  /** Records the holder of a chat, unless a hint with a longer prefix exists. */
  recordClaim(claim: ChatClaim): void {
    const { runner, tokens } = claim;
    const key = parseChatKey(claim.chatKey);
    const stored = this.#hints.find(key);
    if (stored !== undefined && stored.tokens > tokens) return;
    this.#hints.record(key, { runner, tokens });
  }

  /**
   * Finds the runner to which a turn is redirected: the holder of the chat's
   * cache, if this runner is the chat's home and the holder has headroom.
   */
  findHolder(turn: ChatTurn): RunnerId | undefined {
    if (turn.chatKey === noChatKey) return undefined;
    const key = parseChatKey(turn.chatKey);
    const hint = this.#hints.find(key);
    if (hint === undefined || hint.runner === this.#options.self) {
      return undefined;
    }
    const runners = this.#options.source.getCandidates(turn.pool);
    if (!this.#isHome(this.#findHome(key, runners))) return undefined;
    const holder = runners.find((runner) => runner.id === hint.runner);
    if (holder === undefined || !this.#hasHeadroom(holder, turn)) {
      return undefined;
    }
    return holder.id;
  }

  /** Records that a turn runs here and reports it to the chat's home. */
  recordTurn(turn: ChatTurn): void {
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
   * Sends homes the holders of their chats, most recently used first, if the
   * runners of the pool have changed. This restores the hints of a restarted
   * home and hands over those of a leaving one.
   */
  announce(pool: string): void {
    const runners = this.#options.source.getCandidates(pool);
    const runnerList = runners.map(({ id, epoch }) => `${id}/${epoch}`).sort()
      .join();
    if (runnerList === this.#announcedRunners) return;
    this.#announcedRunners = runnerList;
    const claimsByHome = new Map<RunnerRow, ChatClaim[]>();
    for (const [key, hint] of this.#hints.entries()) {
      const home = this.#findHome(key, runners);
      if (home === undefined || this.#isHome(home)) continue;
      const claims = claimsByHome.get(home) ?? [];
      claimsByHome.set(home, claims);
      if (claims.length >= maximumClaimsPerMessage) continue;
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

  #hasHeadroom(holder: RunnerRow, turn: ChatTurn): boolean {
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
