import { exitCodes } from "@jasminetide/runtime/process";
import { type CommandResult, formatTable, type Style } from "../output/mod.ts";
import type { FleetStatus, ProcessStatus } from "./load_status.ts";

/** Reports the current version of each process; drift fails the command. */
export function reportStatus(status: FleetStatus): CommandResult {
  const isInSync = status.processes.every((entry) => entry.drift === "none");
  return {
    exitCode: isInSync ? exitCodes.ok : exitCodes.failed,
    document: status,
    formatText: (style) => formatStatus(status, style),
  };
}

function formatStatus(status: FleetStatus, style: Style): string {
  const rows = status.processes.map((entry) => [
    entry.name,
    entry.type,
    entry.runner ?? "",
    entry.host,
    entry.failureDomain,
    entry.state,
    entry.version === undefined ? "-" : String(entry.version),
    formatDrift(entry, style),
  ]);
  const drifting = status.processes.filter((entry) => entry.drift !== "none");
  return [
    formatTable(rows, {
      head: [
        "process",
        "type",
        "runner",
        "host",
        "failure domain",
        "host state",
        "version",
        "drift",
      ],
      style,
    }),
    "",
    `Version ${status.acceptedVersion} is accepted; ` +
    `${status.processes.length} processes, ${drifting.length} with drift`,
  ].join("\n");
}

function formatDrift(entry: ProcessStatus, style: Style): string {
  const text = entry.detail === undefined
    ? entry.drift
    : `${entry.drift}: ${entry.detail}`;
  return entry.drift === "none" ? style.green(text) : style.red(text);
}
