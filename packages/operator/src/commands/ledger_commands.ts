/** Commands for money calls: ledger list, show, resolve. */
import {
  command,
  flag,
  oneOf,
  option,
  positional,
  string,
  subcommands,
} from "cmd-ts";
import { userInfo } from "node:os";
import { exitCodes } from "@jasminetide/runtime/process";
import {
  type EntryDetails,
  listUnknown,
  resolveEntry,
  showEntry,
  type UnknownEntry,
} from "../ledger/mod.ts";
import {
  type CommandResult,
  formatTable,
  formatValue,
  type Output,
  type Style,
} from "../output/mod.ts";
import { connectionFlags, jsonFlag } from "./flags.ts";
import { runFleetCommand } from "./run_command.ts";

const service = option({
  type: string,
  long: "service",
  short: "s",
  description: "Service that owns the ledger",
});

const keyArguments = {
  service,
  workspace: option({
    type: string,
    long: "workspace",
    short: "w",
    description: "Workspace of the caller that used the key",
  }),
  key: positional({ type: string, displayName: "idempotency key" }),
};

/** Creates `ledger`. */
export function createLedgerCommand(output: Output) {
  return subcommands({
    name: "ledger",
    description: "Show and resolve money calls with unknown outcome",
    cmds: {
      list: createListCommand(output),
      show: createShowCommand(output),
      resolve: createResolveCommand(output),
    },
  });
}

function createListCommand(output: Output) {
  return command({
    name: "list",
    description: "List money calls with unknown outcome, oldest first",
    examples: [{
      description: "List the calls that need to be resolved",
      command: "jasminetide ledger list --service deposit-ledger",
    }],
    args: {
      ...jsonFlag,
      ...connectionFlags,
      service,
      all: flag({ long: "all", description: "Include resolved calls" }),
    },
    handler: (flags) =>
      runFleetCommand(flags, output, async ({ platform }) => {
        const location = { platform, service: flags.service };
        const options = { includeResolved: flags.all };
        return reportUnknown(await listUnknown(location, options));
      }),
  });
}

function createShowCommand(output: Output) {
  return command({
    name: "show",
    description: "Show the ledger entry of a key",
    examples: [{
      description: "Look up a refund",
      command: "jasminetide ledger show -s deposit-ledger -w local KEY",
    }],
    args: { ...jsonFlag, ...connectionFlags, ...keyArguments },
    handler: (flags) =>
      runFleetCommand(flags, output, async ({ platform }) => {
        const location = { platform, service: flags.service };
        return reportEntry(await showEntry(location, flags));
      }),
  });
}

function createResolveCommand(output: Output) {
  return command({
    name: "resolve",
    description:
      "Record the outcome of a money call whose outcome is unknown; " +
      "the call is never run again",
    examples: [{
      description: "Record that the bank executed the payout",
      command: "jasminetide ledger resolve -s deposit-ledger -w local KEY " +
        '--executed yes --reason "Found in the bank statement"',
    }],
    args: {
      ...jsonFlag,
      ...connectionFlags,
      ...keyArguments,
      executed: option({
        type: oneOf(["yes", "no"] as const),
        long: "executed",
        description: "Whether the call took effect: yes or no",
      }),
      reason: option({
        type: string,
        long: "reason",
        short: "r",
        description: "Evidence for the outcome, stored with the key",
      }),
      by: option({
        type: string,
        long: "by",
        description: "Who determined the outcome (default: the system user)",
        defaultValue: () => userInfo().username,
      }),
    },
    handler: (flags) =>
      runFleetCommand(flags, output, async ({ platform }) => {
        const location = { platform, service: flags.service };
        const { workspace, key, executed, reason, by: resolvedBy } = flags;
        const resolution = await resolveEntry(location, {
          workspace,
          key,
          executed,
          reason,
          resolvedBy,
          nowMs: Date.now(),
        });
        return {
          exitCode: exitCodes.ok,
          document: { workspace, key, resolution },
          formatText: () =>
            `Key ${key} is recorded as ` +
            `${executed === "yes" ? "executed" : "not executed"}: ${reason}`,
        };
      }),
  });
}

function reportUnknown(entries: readonly UnknownEntry[]): CommandResult {
  return {
    exitCode: exitCodes.ok,
    document: entries,
    formatText: (style) => formatUnknown(entries, style),
  };
}

function formatUnknown(entries: readonly UnknownEntry[], style: Style): string {
  if (entries.length === 0) return "No unknown outcome";
  const rows = entries.map((entry) => [
    entry.workspace,
    entry.key,
    String(entry.shard),
    formatTime(entry.recordedAtMs),
    entry.resolution === undefined ? "" : entry.resolution.executed,
    entry.resolution?.reason ?? "",
  ]);
  const head = ["workspace", "key", "shard", "recorded", "executed", "reason"];
  return formatTable(rows, { head, style });
}

function reportEntry(entry: EntryDetails): CommandResult {
  return {
    exitCode: exitCodes.ok,
    document: entry,
    formatText: (style) => formatEntry(entry, style),
  };
}

function formatEntry(entry: EntryDetails, style: Style): string {
  const rows = [
    ["state", entry.state],
    ["shard", String(entry.shard)],
    ["owner", entry.owner === undefined ? "none" : formatValue(entry.owner)],
    ["issued", formatTime(entry.issuedAtMs)],
    ["recorded", formatTime(entry.recordedAtMs)],
    ["answer", formatValue(entry.answer)],
    ["resolution", formatValue(entry.resolution)],
  ];
  const head = [entry.key, `workspace ${entry.workspace}`];
  return formatTable(rows, { head, style });
}

function formatTime(timeMs: number | undefined): string {
  return timeMs === undefined ? "-" : new Date(timeMs).toISOString();
}
