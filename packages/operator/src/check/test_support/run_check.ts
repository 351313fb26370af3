import { runOperator } from "../../commands/mod.ts";

/** Exit code and output of a check. */
export type CheckRun = { exitCode: number; text: string };

/** Runs `check` with arguments. */
export async function runCheck(...args: string[]): Promise<CheckRun> {
  let text = "";
  const write = (chunk: string) => void (text += chunk);
  const exitCode = await runOperator(
    ["check", ...args],
    { write, writeError: write, isTerminal: false },
  );
  return { exitCode, text };
}
