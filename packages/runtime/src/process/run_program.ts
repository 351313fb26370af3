import process from "node:process";
import { normalizeError } from "@jasminetide/core/results";
import type { Logger } from "../logging/mod.ts";

/** Exit codes of all programs. */
export const exitCodes = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  unavailable: 4,
} as const;

/** Something that a program runs until it is told to stop. */
export type RunningProgram = AsyncDisposable;

/**
 * Starts a program, waits for SIGTERM or SIGINT, and disposes of it, which
 * finishes the requests in flight.
 */
export async function runProgram(
  start: () => Promise<RunningProgram>,
  logger: Logger,
): Promise<void> {
  // From the start on: a signal without a listener ends the process at once.
  const stopped = waitForSignal(logger);
  let program: RunningProgram;
  try {
    program = await start();
  } catch (thrown) {
    const error = normalizeError(thrown);
    logger.error("start-failed", { code: error.code, detail: error.message });
    process.exitCode = exitCodes.failed;
    return;
  }
  logger.info("stopping", { signal: await stopped });
  await program[Symbol.asyncDispose]();
  logger.info("stopped");
}

/**
 * Waits for the first signal to stop. Further ones change nothing: a program
 * that is stopping finishes its requests. Parts that can be reloaded listen to
 * SIGHUP themselves.
 */
function waitForSignal(logger: Logger): Promise<NodeJS.Signals> {
  return new Promise((resolve) => {
    const take = (signal: NodeJS.Signals) => {
      logger.info("signal", { signal });
      resolve(signal);
    };
    process.on("SIGTERM", take);
    process.on("SIGINT", take);
    process.on("SIGHUP", () => logger.info("signal", { signal: "SIGHUP" }));
  });
}
