import type {
  Crash,
  Evidence,
  EvidenceSelection,
} from "@jasminetide/core/quarantine";
import type { TimerService } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import { PeerDelivery } from "../peers/peer_delivery.ts";

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

/** One piece of evidence. */
type EvidenceItem =
  | { type: "crash"; crash: Crash }
  /** Last whole answer to a request with a part. */
  | { type: "sound"; partId: string };

/** Sends evidence to other gateways. */
export class EvidenceDelivery {
  readonly #delivery: PeerDelivery<EvidenceItem>;

  private constructor(options: EvidenceDeliveryOptions) {
    const { onAnswer, peers, selectEvidence } = options;
    this.#delivery = PeerDelivery.create({
      ...options,
      subject: "evidence",
      listPeers: peers.list,
      send: async (address, items) => {
        const evidence = selectEvidence(createSelection(items));
        onAnswer(await peers.send(address, evidence));
      },
    });
  }

  /** Creates a delivery without evidence. */
  static create(options: EvidenceDeliveryOptions): EvidenceDelivery {
    return new EvidenceDelivery(options);
  }

  /** Number of gateways that have not yet received all evidence. */
  get pendingGateways(): number {
    return this.#delivery.pendingGateways;
  }

  /**
   * Sends crashes, and the last whole answers to requests with parts, to other
   * gateways, to all if none are named.
   */
  send(
    { crashes, partIds }: EvidenceSelection,
    addresses?: readonly string[],
  ): void {
    const items = new Map<string, EvidenceItem>();
    for (const crash of crashes) {
      const key = JSON.stringify([crash.process, crash.request]);
      items.set(key, { type: "crash", crash });
    }
    for (const partId of partIds) items.set(partId, { type: "sound", partId });
    this.#delivery.send(items, addresses);
  }

  [Symbol.dispose](): void {
    this.#delivery[Symbol.dispose]();
  }
}

function createSelection(items: readonly EvidenceItem[]): EvidenceSelection {
  return {
    crashes: items.flatMap((item) => item.type === "crash" ? item.crash : []),
    partIds: items.flatMap((item) => item.type === "sound" ? item.partId : []),
  };
}
