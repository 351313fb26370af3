import { normalizeError } from "@jasminetide/core/results";
import { type TimerService, wait } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";

/** Options of a delivery. */
export type PeerDeliveryOptions<Item> = {
  timers: TimerService;
  logger: Logger;
  /** What is delivered, in log lines. */
  subject: string;
  /** Addresses of the other gateways. */
  listPeers: () => string[];
  /** Sends items to a gateway; rejects if it does not answer. */
  send: (address: string, items: Item[]) => Promise<void>;
};

/** Items that one gateway has not yet received, by key. */
type Outbox<Item> = Map<string, Item>;

/**
 * Sends items to other gateways, and again to those that did not answer
 * while they are listed, for a limited time. An item replaces one with the same
 * key that was not yet received.
 */
export class PeerDelivery<Item> {
  readonly #options: PeerDeliveryOptions<Item>;
  readonly #outboxes = new Map<string, Outbox<Item>>();
  #isDisposed = false;

  private constructor(options: PeerDeliveryOptions<Item>) {
    this.#options = options;
  }

  /** Creates a delivery without items. */
  static create<Item>(
    options: PeerDeliveryOptions<Item>,
  ): PeerDelivery<Item> {
    return new PeerDelivery(options);
  }

  /** Number of gateways that have not yet received all items. */
  get pendingGateways(): number {
    return this.#outboxes.size;
  }

  /** Sends items to other gateways, to all if none are named. */
  send(
    items: ReadonlyMap<string, Item>,
    addresses: readonly string[] = this.#options.listPeers(),
  ): void {
    for (const address of addresses) {
      const outbox = this.#outboxes.get(address);
      if (outbox !== undefined) {
        addItems(outbox, items);
        continue;
      }
      const created: Outbox<Item> = new Map();
      addItems(created, items);
      this.#outboxes.set(address, created);
      void this.#sendPending(address, created);
    }
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    this.#outboxes.clear();
  }

  /** Sends the contents of an outbox until it is empty. */
  async #sendPending(address: string, outbox: Outbox<Item>): Promise<void> {
    const { listPeers, timers } = this.#options;
    const endMs = timers.nowMs() + maxDeliveryMs;
    while (!this.#isDisposed && outbox.size > 0) {
      const isReceived = await this.#sendOnce(address, outbox);
      if (isReceived) continue;
      await wait(timers, retryPeriodMs);
      const isListed = listPeers().includes(address);
      if (!isListed || timers.nowMs() >= endMs) break;
    }
    this.#outboxes.delete(address);
  }

  /** Returns whether the gateway has received what the outbox held. */
  async #sendOnce(address: string, outbox: Outbox<Item>): Promise<boolean> {
    const { logger, send, subject } = this.#options;
    // What is added meanwhile has to be sent even if it is the same item.
    const sent = new Map(outbox);
    outbox.clear();
    try {
      await send(address, [...sent.values()]);
      return true;
    } catch (thrown) {
      addItems(sent, outbox);
      outbox.clear();
      addItems(outbox, sent);
      logger.debug(`${subject}-not-delivered`, {
        peer: address,
        items: sent.size,
        detail: normalizeError(thrown).message,
      });
      return false;
    }
  }
}

/** Adds items; drops the first ones if there are too many. */
function addItems<Item>(
  outbox: Outbox<Item>,
  items: ReadonlyMap<string, Item>,
): void {
  for (const [key, item] of items) {
    outbox.set(key, item);
    if (outbox.size <= maxOutboxItems) continue;
    const [first] = outbox.keys();
    outbox.delete(first);
  }
}

/** Pause between attempts to send to a gateway that did not answer. */
const retryPeriodMs = 1000;

/** Time after which items are not sent to a gateway that does not answer. */
const maxDeliveryMs = 120_000;

/** Maximum items that wait for one gateway. */
const maxOutboxItems = 1000;
