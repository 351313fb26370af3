import process from "node:process";
import type { Output } from "./result.ts";

/** Creates the output of a command-line program. */
export function createProcessOutput(): Output {
  return {
    write: (text) => process.stdout.write(`${text}\n`),
    writeError: (text) => process.stderr.write(`${text}\n`),
    isTerminal: process.stdout.isTTY === true,
  };
}
