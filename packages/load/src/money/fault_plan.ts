/** Random faults of a run of the ledger. */
import type { RandomSource } from "@jasminetide/core/random";
import type { TimerService } from "@jasminetide/core/timers";

/** Rate of the faults, and the functions that cause them. */
export type FaultPlanOptions = {
  timers: TimerService;
  random: RandomSource;
  /** Mean time between two faults. */
  meanGapMs: number;
  setOutage: (isDown: boolean) => void;
  /** Pauses a random sidecar. */
  pause: (durationMs: number) => void;
  /** Kills a random sidecar; a new one starts after the delay. */
  replace: (delayMs: number) => void;
  /** Drains a random sidecar and restarts it. */
  leave: () => void;
  /** Updates the routers' lists of sidecars, which then differ. */
  mixLists: () => void;
};

const shortOutageMs = 3000;
const longOutageMs = 180_000;
/** Share of outages that may last for `longOutageMs`. */
const longOutageShare = 0.1;
const longPauseMs = 30_000;
const replaceDelayMs = 5000;

/**
 * Causes faults at random times until disposed; several may be active at once.
 */
export function startFaults(options: FaultPlanOptions): Disposable {
  const { timers, random, meanGapMs } = options;
  let isStopped = false;
  const scheduleNext = () => {
    const gapMs = -Math.log(1 - random.getFloat()) * meanGapMs;
    timers.schedule(gapMs, () => {
      if (isStopped) return;
      runFault(options);
      scheduleNext();
    });
  };
  scheduleNext();
  return { [Symbol.dispose]: () => void (isStopped = true) };
}

function runFault(options: FaultPlanOptions): void {
  const { random } = options;
  switch (random.getInteger(5)) {
    case 0:
      startOutage(options);
      break;
    case 1:
      options.pause(random.getFloat() * longPauseMs);
      break;
    case 2:
      options.replace(random.getFloat() * replaceDelayMs);
      break;
    case 3:
      options.leave();
      break;
    default:
      options.mixLists();
  }
}

function startOutage(options: FaultPlanOptions): void {
  const { timers, random } = options;
  const isLong = random.getFloat() < longOutageShare;
  const longestMs = isLong ? longOutageMs : shortOutageMs;
  options.setOutage(true);
  timers.schedule(
    random.getFloat() * longestMs,
    () => options.setOutage(false),
  );
}
