/** Commands for running processes: status, dump, drain. */
import { command, flag, option, positional, string } from "cmd-ts";
import { AppError } from "@jasminetide/core/results";
import { exitCodes } from "@jasminetide/runtime/process";
import {
  fetchDump,
  listProcesses,
  type ProcessEntry,
} from "../connection/mod.ts";
import { reportDrain, writeDrainIntent } from "../drain/mod.ts";
import type { Output } from "../output/mod.ts";
import { loadStatus, reportStatus } from "../status/mod.ts";
import { connectionFlags, jsonFlag } from "./flags.ts";
import { runFleetCommand } from "./run_command.ts";

/** Creates `status`. */
export function createStatusCommand(output: Output) {
  return command({
    name: "status",
    description: "Show the current version of each process; exit code 1 if " +
      "one differs from the accepted version or a process does not answer",
    examples: [{
      description:
        "Wait in a script until all processes use the accepted version",
      command: "until jasminetide status --json >/dev/null; do sleep 1; done",
    }],
    args: { ...jsonFlag, ...connectionFlags },
    handler: (flags) =>
      runFleetCommand(
        flags,
        output,
        async ({ connection, platform }) =>
          reportStatus(await loadStatus(platform, connection)),
      ),
  });
}

/** Creates `dump`. */
export function createDumpCommand(output: Output) {
  return command({
    name: "dump",
    description: "Print the state of one process as JSON",
    examples: [
      {
        description: "Dump a router",
        command: "jasminetide dump router-1",
      },
      {
        description: "Dump the sidecar of a runner",
        command: "jasminetide dump assistant-1",
      },
    ],
    args: {
      ...jsonFlag,
      ...connectionFlags,
      process: positional({
        type: string,
        displayName: "process",
        description: "Name of a process, or of the runner of a sidecar, or " +
          "the ip:port of the control listener",
      }),
    },
    handler: (flags) =>
      runFleetCommand(flags, output, async ({ connection, platform }) => {
        const address = isAddress(flags.process) ? flags.process : findProcess(
          flags.process,
          listProcesses(await platform.loadHosts()),
        )
          .controlAddress;
        const dump = await fetchDump(address, connection);
        return {
          exitCode: exitCodes.ok,
          document: dump,
          formatText: () => JSON.stringify(dump, null, 2),
        };
      }),
  });
}

function isAddress(text: string): boolean {
  return /^[\d.]+:\d+$|^\[[0-9a-f:]+\]:\d+$/i.test(text);
}

function findProcess(
  name: string,
  entries: readonly ProcessEntry[],
): ProcessEntry {
  const entry = entries.find((candidate) =>
    candidate.name === name || candidate.runner === name
  );
  if (entry !== undefined) return entry;
  const known = entries.map((candidate) => candidate.name).join(", ");
  throw AppError.create(
    "notFound",
    `No process "${name}", expected one of ${known}`,
  );
}

/** Creates `drain`. */
export function createDrainCommand(output: Output) {
  return command({
    name: "drain",
    description: "Drain a host or runner: it finishes its requests and " +
      "accepts no new ones",
    examples: [
      {
        description: "Drain a host before replacing it",
        command: 'jasminetide drain host-1 --reason "Kernel update"',
      },
      {
        description: "Put it back into use",
        command: 'jasminetide drain host-1 --cancel --reason "Updated"',
      },
    ],
    args: {
      ...jsonFlag,
      ...connectionFlags,
      cancel: flag({ long: "cancel", description: "Cancel a drain" }),
      reason: option({
        type: string,
        long: "reason",
        short: "r",
        description: "Reason, stored with the drain",
      }),
      name: positional({ type: string, displayName: "host or runner" }),
    },
    handler: (flags) =>
      runFleetCommand(flags, output, async ({ platform }) =>
        reportDrain(
          await writeDrainIntent(platform, {
            name: flags.name,
            reason: flags.reason,
            state: flags.cancel ? "cancelled" : "draining",
            nowMs: Date.now(),
          }),
        )),
  });
}
