import type {
  Crash,
  Evidence,
  EvidenceSelection,
} from "@jasminetide/core/quarantine";
import { normalizeError } from "@jasminetide/core/results";
import { type TimerService, wait } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";

/** Calls to the other gateways. */
export type EvidencePeers = {
  /** Addresses of the other gateways. */
  list: () => string[];
  /** Sends evidence; returns which of its parts the other has seen sound. */
  send: (address: string, evidence: Evidence) => Promise<Evidence>;
  /** Fetches all evidence. */
  fetch: (address: string) => Promise<Evidence>;
};

/** Options of a delivery. */
export type EvidenceDeliveryOptions = {
  timers: TimerService;
  logger: Logger;
  peers: Pick<EvidencePeers, "list" | "send">;
  /** Selects the evidence to send, with its age at that time. */
  selectEvidence: (selection: EvidenceSelection) => Evidence;
  /** Called with the answer of a gateway. */
  onAnswer: (evidence: Evidence) => void;
};

/** Evidence that one gateway has not yet received. */
type Outbox = { crashes: Set<Crash>; partIds: Set<string> };

/**
 * Sends evidence to all other gateways, and again to those that did not answer
 * while they are listed, for a limited time.
 */
export class EvidenceDelivery {
  readonly #options: EvidenceDeliveryOptions;
  readonly #outboxes = new Map<string, Outbox>();
  #isDisposed = false;

  private constructor(options: EvidenceDeliveryOptions) {
    this.#options = options;
  }

  /** Creates a delivery without evidence. */
  static create(options: EvidenceDeliveryOptions): EvidenceDelivery {
    return new EvidenceDelivery(options);
  }

  /** Number of gateways that have not yet received all evidence. */
  get pendingGateways(): number {
    return this.#outboxes.size;
  }

  /** Sends crashes, and the last whole answers to requests with parts. */
  send({ crashes, partIds }: EvidenceSelection): void {
    const added = { crashes: [...crashes], partIds: [...partIds] };
    for (const address of this.#options.peers.list()) {
      const outbox = this.#outboxes.get(address);
      if (outbox !== undefined) {
        addToOutbox(outbox, added);
        continue;
      }
      const created = { crashes: new Set<Crash>(), partIds: new Set<string>() };
      addToOutbox(created, added);
      this.#outboxes.set(address, created);
      void this.#sendPending(address, created);
    }
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    this.#outboxes.clear();
  }

  /** Sends the contents of an outbox until it is empty. */
  async #sendPending(address: string, outbox: Outbox): Promise<void> {
    const { peers, timers } = this.#options;
    const endMs = timers.nowMs() + maxDeliveryMs;
    while (!this.#isDisposed && !isEmpty(outbox)) {
      const isReceived = await this.#sendOnce(address, outbox);
      if (isReceived) continue;
      await wait(timers, retryPeriodMs);
      const isListed = peers.list().includes(address);
      if (!isListed || timers.nowMs() >= endMs) break;
    }
    this.#outboxes.delete(address);
  }

  /** Returns whether the gateway has received what the outbox held. */
  async #sendOnce(address: string, outbox: Outbox): Promise<boolean> {
    const { logger, onAnswer, peers, selectEvidence } = this.#options;
    // What is added meanwhile has to be sent even if it is the same part.
    const sent = takeAll(outbox);
    try {
      onAnswer(await peers.send(address, selectEvidence(sent)));
      return true;
    } catch (thrown) {
      addToOutbox(outbox, sent);
      logger.debug("evidence-not-delivered", {
        peer: address,
        crashes: sent.crashes.length,
        detail: normalizeError(thrown).message,
      });
      return false;
    }
  }
}

function takeAll(outbox: Outbox): { crashes: Crash[]; partIds: string[] } {
  const taken = {
    crashes: [...outbox.crashes],
    partIds: [...outbox.partIds],
  };
  outbox.crashes.clear();
  outbox.partIds.clear();
  return taken;
}

function addToOutbox(
  outbox: Outbox,
  { crashes, partIds }: { crashes: Crash[]; partIds: string[] },
): void {
  for (const crash of crashes) addBounded(outbox.crashes, crash);
  for (const partId of partIds) addBounded(outbox.partIds, partId);
}

/** Adds an item; drops the first one if there are too many. */
function addBounded<Item>(items: Set<Item>, item: Item): void {
  items.add(item);
  if (items.size <= maxOutboxItems) return;
  const [first] = items;
  items.delete(first);
}

function isEmpty({ crashes, partIds }: Outbox): boolean {
  return crashes.size === 0 && partIds.size === 0;
}

/** Pause between attempts to send to a gateway that did not answer. */
const retryPeriodMs = 1000;

/** Time after which evidence is not sent to a gateway that does not answer. */
const maxDeliveryMs = 120_000;

/** Maximum crashes, and parts, that wait for one gateway. */
const maxOutboxItems = 1000;
