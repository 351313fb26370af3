/** Command that checks documents before they are put in force: check. */
import {
  command,
  flag,
  option,
  optional,
  restPositionals,
  string,
} from "cmd-ts";
import { dirname } from "node:path";
import { PlatformClient } from "@jasminetide/runtime/platform";
import {
  checkDocuments,
  type CheckOptions,
  compareInForce,
  reportCheck,
} from "../check/mod.ts";
import { resolveConnection } from "../connection/mod.ts";
import type { CommandResult, Output } from "../output/mod.ts";
import {
  connectionFlags,
  getConnectionFlags,
  jsonFlag,
  type ParsedFlags,
} from "./flags.ts";
import { runCommand } from "./run_command.ts";

const examples = [
  {
    description:
      "Check every file of a fleet, including references between files",
    command: "jasminetide check examples/vozikovy",
  },
  {
    description: "Check the local fleet from a script",
    command: "jasminetide check --json",
  },
  {
    description: "Show what differs from the version in force",
    command: "jasminetide check fleet.jsonc --against current",
  },
];

/** Creates `check`. */
export function createCheckCommand(output: Output, options: CheckOptions) {
  return command({
    name: "check",
    description: "Check declarations, routes and process settings; exit code " +
      "1 if a file has faults or errors",
    examples,
    args: {
      ...jsonFlag,
      ...connectionFlags,
      strict: flag({ long: "strict", description: "Fail on warnings too" }),
      against: option({
        type: optional(string),
        long: "against",
        description: "Show what differs from `current` (the declaration in " +
          "force), the routes of a gateway (ip:port) or a file",
      }),
      paths: restPositionals({
        type: string,
        displayName: "path",
        description: "Files and folders (default: the folder of the fleet)",
      }),
    },
    handler: (flags) =>
      runCommand(flags, output, () => runCheck(flags, options)),
  });
}

async function runCheck(
  flags: ParsedFlags & {
    against: string | undefined;
    strict: boolean;
    paths: string[];
  },
  options: CheckOptions,
): Promise<CommandResult> {
  const { against, paths, strict: isStrict } = flags;
  const { fleetFile, platformAddress } = await resolveConnection(
    getConnectionFlags(flags),
  );
  const result = await checkDocuments(
    paths.length > 0 ? paths : [dirname(fleetFile)],
    options,
  );
  const { report } = result;
  if (against === undefined) {
    return reportCheck(report, { isStrict, comparison: undefined });
  }
  await using platform = PlatformClient.create({ address: platformAddress });
  const comparison = await compareInForce(result, {
    against,
    platform,
    ...options,
  });
  return reportCheck(report, { isStrict, comparison });
}
