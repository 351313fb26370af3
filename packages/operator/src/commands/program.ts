import { isObject } from "@jasminetide/core/configuration";
import { productVersion } from "@jasminetide/core";
import { exitCodes } from "@jasminetide/runtime/process";
import { runSafely, subcommands } from "cmd-ts";
import type { DocumentFormat } from "../check/mod.ts";
import type { ExitCode, Output } from "../output/mod.ts";
import { createCheckCommand } from "./check_command.ts";
import {
  createApplyCommand,
  createExplainCommand,
  createPlanCommand,
} from "./declaration_commands.ts";
import {
  createDrainCommand,
  createDumpCommand,
  createStatusCommand,
} from "./fleet_commands.ts";
import { createGatewaysCommand } from "./gateway_commands.ts";
import { createLedgerCommand } from "./ledger_commands.ts";
import { createTraceCommand } from "./log_commands.ts";

const exitCodeHelp = [
  "Exit codes: 0 success; 1 faults, drift or failure; 2 wrong usage;",
  "3 conflict with another editor; 4 the platform does not answer.",
].join("\n");

/** Options of the operator's program. */
export type OperatorOptions = {
  /** Notations of documents besides the product's own. */
  formats?: readonly DocumentFormat[];
};

function createProgram(output: Output, options: OperatorOptions) {
  return subcommands({
    name: "jasminetide",
    version: productVersion,
    description: "Declares and inspects a router fleet. " +
      "Without flags it connects to the local fleet.\n" + exitCodeHelp,
    cmds: {
      check: createCheckCommand(output, options),
      plan: createPlanCommand(output),
      apply: createApplyCommand(output),
      explain: createExplainCommand(output),
      status: createStatusCommand(output),
      dump: createDumpCommand(output),
      drain: createDrainCommand(output),
      gateways: createGatewaysCommand(output),
      ledger: createLedgerCommand(output),
      trace: createTraceCommand(output),
    },
  });
}

/**
 * Runs the operator's command line.
 *
 * @returns the exit code.
 */
export async function runOperator(
  argv: readonly string[],
  output: Output,
  options: OperatorOptions = {},
): Promise<ExitCode> {
  const result = await runSafely(createProgram(output, options), [...argv]);
  if (result._tag === "ok") return await readExitCode(result.value);
  const { message, into } = result.error.config;
  if (into === "stdout") output.write(message);
  else output.writeError(message);
  const isHelpRequested = argv.some((flag) =>
    flag === "--help" || flag === "-h" || flag === "--version" || flag === "-v"
  );
  return isHelpRequested ? exitCodes.ok : exitCodes.usage;
}

/**
 * Reads the exit code from the value of a command. The value of a group of
 * commands holds that of the command that ran.
 */
async function readExitCode(value: unknown): Promise<ExitCode> {
  const settled = await value;
  return isObject(settled)
    ? await readExitCode(settled["value"])
    : settled as ExitCode;
}
