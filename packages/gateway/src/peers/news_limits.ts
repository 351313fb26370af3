/** Times within which every gateway must know a change, in milliseconds. */
export type ChangeLimits = {
  /** For a runner that leaves. */
  leavingLimitMs: number;
  /** For a declaration. */
  declarationLimitMs: number;
  /** For a failure domain that is evacuated; absent where none ever is. */
  evacuationLimitMs?: number | undefined;
};

/** Times by which gateways take changes from each other. */
export type NewsLimits = {
  /** Maximum wait of a watch of a reader, or of a follower without one. */
  watchMs: number;
  /** Period at which a reader tells others that nothing has changed. */
  linePeriodMs: number;
  /** Time without a line after which a reader counts as silent. */
  silenceMs: number;
  /** Age from which a gateway reads the store itself. */
  maxAgeMs: number;
};

/** Derives the times from the limits that changes must keep. */
export function getNewsLimits(limits: ChangeLimits): NewsLimits {
  const { declarationLimitMs, evacuationLimitMs, leavingLimitMs } = limits;
  const limitMs = Math.min(
    declarationLimitMs,
    leavingLimitMs,
    evacuationLimitMs ?? Number.POSITIVE_INFINITY,
  );
  const linePeriodMs = Math.round(limitMs * linePeriodShare);
  return {
    watchMs: Math.round(limitMs * readerWatchShare),
    linePeriodMs,
    silenceMs: linePeriodMs + lineSlackMs,
    maxAgeMs: limitMs * maxAgeShare,
  };
}

/** Share of the limit that one watch of a reader may wait. */
const readerWatchShare = 0.3;

/** Share of the limit between two lines of a reader while nothing changes. */
const linePeriodShare = 0.15;

/**
 * Share of the limit after which a gateway reads the store itself; the rest is
 * enough for a call that fails and one more.
 */
const maxAgeShare = 0.6;

/** Time that a line may take longer, by lost packets or a busy host. */
const lineSlackMs = 700;
