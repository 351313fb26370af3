import process from "node:process";
import { runOperator } from "./commands/mod.ts";

process.exitCode = await runOperator(process.argv.slice(2), {
  write: (text) => process.stdout.write(`${text}\n`),
  writeError: (text) => process.stderr.write(`${text}\n`),
  isTerminal: process.stdout.isTTY === true,
});
