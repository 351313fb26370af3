import { exitCodes } from "@jasminetide/runtime/process";
import { type CommandResult, formatTable, type Style } from "../output/mod.ts";
import type { GatewaysStatus, GatewayStatus } from "./load_gateway_status.ts";

/** Reports the state of gateways; one that is behind fails the command. */
export function reportGatewaysStatus(status: GatewaysStatus): CommandResult {
  const faults = status.gateways.filter((each) => findFault(each, status));
  return {
    exitCode: faults.length === 0 ? exitCodes.ok : exitCodes.failed,
    document: status,
    formatText: (style) => formatStatus(status, style),
  };
}

function formatStatus(status: GatewaysStatus, style: Style): string {
  const rows = status.gateways.map((each) => formatRow(each, status, style));
  const faults = status.gateways.filter((each) => findFault(each, status));
  return [
    formatTable(rows, {
      head: [
        "gateway",
        "address",
        "version",
        "store",
        "runners",
        "draining",
        "gateways",
        "open requests",
        "state",
      ],
      style,
    }),
    "",
    `Version ${status.newestVersion} is the newest in force; ` +
    `${status.gateways.length} gateways, ${faults.length} with faults`,
  ].join("\n");
}

function formatRow(
  each: GatewayStatus,
  status: GatewaysStatus,
  style: Style,
): string[] {
  const { address, state } = each;
  const fault = findFault(each, status);
  const verdict = fault === undefined ? style.green("ok") : style.red(fault);
  if (state === undefined) {
    return ["-", address, "-", "-", "-", "-", "-", "-", verdict];
  }
  const { fleet, openRequests, process } = state;
  const draining = fleet.runners.filter(({ isDraining }) => isDraining);
  return [
    process.name,
    address,
    String(fleet.declarationVersion),
    fleet.isConnected ? "answers" : "away",
    String(fleet.runners.length),
    String(draining.length),
    String(fleet.gateways.length),
    String(openRequests),
    verdict,
  ];
}

function findFault(
  { detail, state }: GatewayStatus,
  { newestVersion }: GatewaysStatus,
): string | undefined {
  if (state === undefined) return `unreachable: ${detail}`;
  if (!state.isReady) return "not ready";
  if (state.fleet.declarationVersion < newestVersion) return "behind";
  return undefined;
}
