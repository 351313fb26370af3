import type { RandomSource } from "@jasminetide/core/random";
import { normalizeError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import type { GatewayState, StateVersions } from "./gateway_state.ts";

/** Options of a poller of other gateways. */
export type PeerPollerOptions = {
  timers: TimerService;
  random: RandomSource;
  logger: Logger;
  /** Whether the store answers this gateway. */
  isConnected: () => boolean;
  /** Versions of the state that this gateway has. */
  getVersions: () => StateVersions;
  /** Addresses of the other gateways. */
  listPeers: () => string[];
  fetchState: (
    address: string,
    known: StateVersions,
  ) => Promise<Partial<GatewayState>>;
  /** Called with state that is newer than that of this gateway. */
  onNewerState: (state: Partial<GatewayState>) => void;
};

/**
 * Fetches declarations and runners from other gateways while the store does not
 * answer this one.
 */
export class PeerPoller {
  readonly #options: PeerPollerOptions;
  readonly #subscription: Disposable;
  #isPolling = false;

  private constructor(options: PeerPollerOptions) {
    this.#options = options;
    this.#subscription = options.timers.subscribe(
      pollPeriodMs,
      () => void this.#pollOne(),
    );
  }

  /** Creates a poller, which polls whenever the store does not answer. */
  static create(options: PeerPollerOptions): PeerPoller {
    return new PeerPoller(options);
  }

  [Symbol.dispose](): void {
    this.#subscription[Symbol.dispose]();
  }

  async #pollOne(): Promise<void> {
    const {
      fetchState,
      getVersions,
      isConnected,
      listPeers,
      logger,
      onNewerState,
      random,
    } = this.#options;
    const peers = listPeers();
    if (this.#isPolling || isConnected() || peers.length === 0) return;
    const peer = peers[random.getInteger(peers.length)];
    this.#isPolling = true;
    try {
      const state = await fetchState(peer, getVersions());
      if (Object.keys(state).length === 0 || isConnected()) return;
      logger.info("news-from-peer", {
        peer,
        version: state.declaration?.version,
        ...state.position,
      });
      onNewerState(state);
    } catch (thrown) {
      logger.debug("peer-silent", {
        peer,
        detail: normalizeError(thrown).message,
      });
    } finally {
      this.#isPolling = false;
    }
  }
}

/** Period of polls, one peer at a time; changes must arrive within seconds. */
const pollPeriodMs = 300;
