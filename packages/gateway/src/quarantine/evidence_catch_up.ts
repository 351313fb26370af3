import type { Evidence } from "@jasminetide/core/quarantine";
import type { RandomSource } from "@jasminetide/core/random";
import { type TimerService, wait } from "@jasminetide/core/timers";
import type { EvidencePeers } from "./evidence_delivery.ts";

/** Options of a catch-up. */
export type EvidenceCatchUpOptions = {
  timers: TimerService;
  random: RandomSource;
  peers: Pick<EvidencePeers, "fetch" | "list">;
  /** Called with all evidence of another gateway. */
  onEvidence: (evidence: Evidence) => void;
  /** Whether the gateway has stopped. */
  isDisposed: () => boolean;
};

/**
 * Fetches the evidence of other gateways after a start, so that a restart
 * forgets nothing. Tries again until one of them has answered.
 */
export async function fetchMissedEvidence(
  options: EvidenceCatchUpOptions,
): Promise<void> {
  const { isDisposed, onEvidence, peers, timers } = options;
  const endMs = timers.nowMs() + maxCatchUpMs;
  while (!isDisposed() && timers.nowMs() < endMs) {
    const answers = await Promise.all(
      choosePeers(options).map((address) =>
        peers.fetch(address).catch(() => undefined)
      ),
    );
    const fetched = answers.filter((answer) => answer !== undefined);
    for (const evidence of fetched) onEvidence(evidence);
    if (fetched.length > 0) return;
    await wait(timers, retryPeriodMs);
  }
}

/** Chooses some of the other gateways at random. */
function choosePeers({ peers, random }: EvidenceCatchUpOptions): string[] {
  const left = peers.list();
  const chosen: string[] = [];
  while (left.length > 0 && chosen.length < maxQueriedPeers) {
    chosen.push(...left.splice(random.getInteger(left.length), 1));
  }
  return chosen;
}

/** Gateways that are queried at a time. */
const maxQueriedPeers = 3;

/** Pause while no other gateway is known or none has answered. */
const retryPeriodMs = 100;

/** Time after which a gateway without others goes on alone. */
const maxCatchUpMs = 30_000;
