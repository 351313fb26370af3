import { type AppError, normalizeError } from "@jasminetide/core/results";
import { PlatformClient } from "@jasminetide/runtime/platform";
import { exitCodes } from "@jasminetide/runtime/process";
import { type Connection, resolveConnection } from "../connection/mod.ts";
import {
  type CommandResult,
  createStyle,
  type ExitCode,
  type Output,
} from "../output/mod.ts";
import { getConnectionFlags, type ParsedFlags } from "./flags.ts";

/** Connection and platform client of a command that runs on a fleet. */
export type CommandContext = {
  connection: Connection;
  platform: PlatformClient;
};

/** Runs a command on a fleet and writes its result. */
export function runFleetCommand(
  flags: ParsedFlags,
  output: Output,
  execute: (context: CommandContext) => Promise<CommandResult>,
): Promise<ExitCode> {
  return runCommand(flags, output, async () => {
    const connection = await resolveConnection(getConnectionFlags(flags));
    await using platform = PlatformClient.create({
      address: connection.platformAddress,
    });
    return await execute({ connection, platform });
  });
}

/** Runs a command and writes its result or its error. */
export async function runCommand(
  flags: { json: boolean },
  output: Output,
  execute: () => Promise<CommandResult>,
): Promise<ExitCode> {
  try {
    const result = await execute();
    output.write(
      flags.json
        ? JSON.stringify(result.document, null, 2)
        : result.formatText(createStyle(output.isTerminal)),
    );
    return result.exitCode;
  } catch (thrown) {
    return reportError(normalizeError(thrown), { json: flags.json, output });
  }
}

function reportError(
  error: AppError,
  options: { json: boolean; output: Output },
): ExitCode {
  const { json, output } = options;
  const { code, result, message } = error;
  if (json) output.write(JSON.stringify({ error: { code, result, message } }));
  else output.writeError(`${message}\n(code ${code}, ${result})`);
  return getExitCode(error);
}

/** Gets the exit code of an error. */
export function getExitCode(error: AppError): ExitCode {
  switch (error.result) {
    case "versionConflict":
      return exitCodes.conflict;
    case "platformUnavailable":
    case "platformLimited":
      return exitCodes.unavailable;
    case "invalidRequest":
    case "notFound":
      return exitCodes.usage;
    default:
      return exitCodes.failed;
  }
}
