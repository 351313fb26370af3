import type { AdmissionController } from "@jasminetide/core/admission";
import type { PeakGate } from "@jasminetide/core/peak";
import type { RequestEnvelope } from "@jasminetide/runtime/exchange";

/** Dependencies of holding back deferrable requests. */
export type PeakContext = {
  admission: AdmissionController;
  /** Holds deferrable requests back and counts computed tokens. */
  peak: PeakGate;
  isDeferrable: (priority: number) => boolean;
};

/** Waits until a deferrable request is released; others are not held back. */
export async function waitForRelease(
  request: { envelope: RequestEnvelope; arrivedAtMs: number },
  signal: AbortSignal,
  context: PeakContext,
): Promise<void> {
  const { envelope, arrivedAtMs } = request;
  if (!context.isDeferrable(envelope.priority)) return;
  await context.peak.wait({
    id: envelope.attempt,
    costTokens: envelope.costTokens,
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + envelope.remainingMs,
    durationMs: context.admission.getExpectedDurationMs(envelope.costTokens),
  }, signal);
}

/**
 * Counts the tokens that a request computed. The release of a deferrable
 * request has already counted its estimate, so only the difference is added.
 */
export function recordComputedTokens(
  envelope: RequestEnvelope,
  computed: { computedTokens: number | undefined; atMs: number },
  context: PeakContext,
): void {
  const { costTokens, priority } = envelope;
  const isDeferrable = context.isDeferrable(priority);
  const { atMs, computedTokens = costTokens } = computed;
  const tokens = computedTokens - (isDeferrable ? costTokens : 0);
  context.peak.hold.meter.record(tokens, { atMs, isDeferrable });
}
