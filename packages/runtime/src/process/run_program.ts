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

/** A started program; disposing of it stops it gracefully. */
export type RunningProgram = AsyncDisposable;

/**
 * Starts a program, waits for SIGTERM or SIGINT, and disposes of it, which
 * finishes the requests in flight.
 */
export async function runProgram(
  start: () => Promise<RunningProgram>,
  logger: Logger,
): Promise<void> {
  // Registered before the start: without a listener, a signal ends the process.
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
 * Waits for the first SIGTERM or SIGINT. Further signals are only logged: a
 * program that is stopping finishes its requests. Components that can reload
 * their files register their own SIGHUP listeners.
 */
function waitForSignal(logger: Logger): Promise<NodeJS.Signals> {
  return new Promise((resolve) => {
    const handleSignal = (signal: NodeJS.Signals) => {
      logger.info("signal", { signal });
      resolve(signal);
    };
    process.on("SIGTERM", handleSignal);
    process.on("SIGINT", handleSignal);
    process.on("SIGHUP", () => logger.info("signal", { signal: "SIGHUP" }));
  });
}
