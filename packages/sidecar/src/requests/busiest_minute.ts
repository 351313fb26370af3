import type { AdmissionController } from "@jasminetide/core/admission";
import type { PeakGate } from "@jasminetide/core/peak";
import type { RequestEnvelope } from "@jasminetide/runtime/exchange";

/** What holding back works with. */
export type PeakContext = {
  admission: AdmissionController;
  /** Holds back what may wait, and counts computed tokens. */
  peak: PeakGate;
  isDeferrable: (priority: number) => boolean;
};

/** Holds a deferrable request back while the minute is at its peak. */
export async function waitForRelease(
  work: { envelope: RequestEnvelope; arrivedAtMs: number },
  signal: AbortSignal,
  context: PeakContext,
): Promise<void> {
  const { envelope, arrivedAtMs } = work;
  if (!context.isDeferrable(envelope.priority)) return;
  await context.peak.wait({
    id: envelope.attempt,
    costTokens: envelope.costTokens,
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + envelope.remainingMs,
    durationMs: context.admission.getExpectedDurationMs(envelope.costTokens),
  }, signal);
}

/** Counts what a request computed; a release has counted its estimate. */
export function recordTokens(
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
