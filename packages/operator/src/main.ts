import process from "node:process";
import { runOperator } from "./commands/mod.ts";
import { createProcessOutput } from "./output/mod.ts";

process.exitCode = await runOperator(
  process.argv.slice(2),
  createProcessOutput(),
);
