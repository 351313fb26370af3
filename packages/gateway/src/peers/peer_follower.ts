import type { RandomSource } from "@jasminetide/core/random";
import { normalizeError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import type { GatewayState, KnownState } from "./peer_news.ts";

/** What asking other gateways needs. */
export type PeerFollowerOptions = {
  timers: TimerService;
  random: RandomSource;
  logger: Logger;
  /** Whether the store answers this gateway itself. */
  isConnected: () => boolean;
  getKnown: () => KnownState;
  /** Addresses of the other gateways. */
  listPeers: () => string[];
  ask: (address: string, known: KnownState) => Promise<Partial<GatewayState>>;
  onNews: (news: Partial<GatewayState>) => void;
};

/**
 * Learns declarations and runners from other gateways while the store turns
 * this one away.
 */
export class PeerFollower {
  readonly #options: PeerFollowerOptions;
  readonly #subscription: Disposable;
  #isAsking = false;

  private constructor(options: PeerFollowerOptions) {
    this.#options = options;
    this.#subscription = options.timers.subscribe(
      askPeriodMs,
      () => void this.#askOne(),
    );
  }

  /** Starts to ask whenever the store does not answer. */
  static create(options: PeerFollowerOptions): PeerFollower {
    return new PeerFollower(options);
  }

  [Symbol.dispose](): void {
    this.#subscription[Symbol.dispose]();
  }

  async #askOne(): Promise<void> {
    const { ask, getKnown, isConnected, listPeers, logger, onNews, random } =
      this.#options;
    const peers = listPeers();
    if (this.#isAsking || isConnected() || peers.length === 0) return;
    const peer = peers[random.getInteger(peers.length)];
    this.#isAsking = true;
    try {
      const news = await ask(peer, getKnown());
      if (Object.keys(news).length === 0 || isConnected()) return;
      logger.info("news-from-peer", {
        peer,
        version: news.declaration?.version,
        revision: news.revision,
      });
      onNews(news);
    } catch (thrown) {
      logger.debug("peer-silent", {
        peer,
        detail: normalizeError(thrown).message,
      });
    } finally {
      this.#isAsking = false;
    }
  }
}

/** A question to one peer at a time; news is due within seconds. */
const askPeriodMs = 300;
