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
  let program: RunningProgram;
  try {
    program = await start();
  } catch (thrown) {
    const error = normalizeError(thrown);
    logger.error("start-failed", { code: error.code, detail: error.message });
    process.exitCode = exitCodes.failed;
    return;
  }
  const signal = await waitForSignal();
  logger.info("stopping", { signal });
  await program[Symbol.asyncDispose]();
  logger.info("stopped");
}

function waitForSignal(): Promise<NodeJS.Signals> {
  return new Promise((resolve) => {
    process.once("SIGTERM", resolve);
    process.once("SIGINT", resolve);
  });
}
