import { isLeaving, type SidecarState } from "./state.ts";

/** Gets the state of a sidecar for operators, without secrets. */
export function getDump(state: SidecarState) {
  const { admission, attempts, configuration, settings } = state;
  return {
    process: {
      type: "sidecar",
      name: settings.name,
      runner: settings.runner,
      epoch: attempts.epoch,
    },
    isLeaving: isLeaving(state),
    configurationVersion: configuration.version,
    attempts: attempts.size,
    admission: {
      loadTokens: admission.loadTokens,
      queueLength: admission.queueLength,
      running: admission.running,
      concurrencyLimit: admission.concurrencyLimit,
    },
    membership: state.membership?.getSnapshot(),
    highestFencingNumber: state.orders?.highestFencingNumber,
    peak: getPeakDump(state),
    chatHints: state.locator?.size ?? 0,
    ledger: state.ledger?.getDump() ?? [],
    metrics: state.metrics.getSnapshot(),
  };
}

function getPeakDump({ peak, timers }: SidecarState) {
  const { meter, size } = peak.hold;
  const nowMs = timers.nowMs();
  return {
    held: size,
    minuteTokens: meter.getCurrent(nowMs).tokens,
    peakTokens: meter.getPeakTokens(nowMs),
  };
}
