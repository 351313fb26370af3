/** Injects requests that crash runners. */
import { setTimeout } from "node:timers/promises";
import type { SoakFleet } from "./soak_fleet.ts";

/** Options of the injection. */
export type CrashOptions = {
  /** Sends such requests for a time and settles when all have ended. */
  send: (durationMs: number) => Promise<void>;
  fleet: SoakFleet;
  durationMs: number;
};

const pollMs = 50;

/**
 * Sends such requests for a time, and starts the runners again that exit;
 * settles when all requests have ended and all runners are back.
 */
export async function injectCrashes(
  { durationMs, fleet, send }: CrashOptions,
): Promise<void> {
  const restarts: Promise<void>[] = [];
  let isSending = true;
  const sent = send(durationMs).then(() => isSending = false);
  const restartExited = () => {
    for (const runner of fleet.runners) {
      if (runner.process.isRunning || runner.restart !== undefined) continue;
      restarts.push(fleet.restartRunner(runner));
    }
  };
  while (isSending) {
    restartExited();
    await setTimeout(pollMs);
  }
  restartExited();
  await Promise.all([sent, ...restarts]);
}
