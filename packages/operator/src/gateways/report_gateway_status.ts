import { exitCodes } from "@jasminetide/runtime/process";
import { type CommandResult, formatTable, type Style } from "../output/mod.ts";
import type { GatewaysStatus, GatewayStatus } from "./load_gateway_status.ts";

/** Reports the status of gateways; any fault fails the command. */
export function reportGatewaysStatus(status: GatewaysStatus): CommandResult {
  const faults = status.gateways.filter((gateway) =>
    findFault(gateway, status)
  );
  return {
    exitCode: faults.length === 0 ? exitCodes.ok : exitCodes.failed,
    document: status,
    formatText: (style) => formatStatus(status, style),
  };
}

function formatStatus(status: GatewaysStatus, style: Style): string {
  const rows = status.gateways.map((gateway) =>
    formatRow(gateway, status, style)
  );
  const faults = status.gateways.filter((gateway) =>
    findFault(gateway, status)
  );
  return [
    formatTable(rows, {
      head: [
        "gateway",
        "address",
        "version",
        "store",
        "runners",
        "draining",
        "evacuated",
        "gateways",
        "open requests",
        "state",
      ],
      style,
    }),
    "",
    `Version ${status.newestVersion} is the newest; ` +
    `${status.gateways.length} gateways, ${faults.length} with faults`,
  ].join("\n");
}

function formatRow(
  gateway: GatewayStatus,
  status: GatewaysStatus,
  style: Style,
): string[] {
  const { address, state } = gateway;
  const fault = findFault(gateway, status);
  const verdict = fault === undefined ? style.green("ok") : style.red(fault);
  if (state === undefined) {
    return ["-", address, "-", "-", "-", "-", "-", "-", "-", verdict];
  }
  const { fleet, openRequests, process } = state;
  const draining = fleet.runners.filter(({ isDraining }) => isDraining);
  return [
    process.name,
    address,
    String(fleet.declarationVersion),
    formatStoreAccess(fleet),
    String(fleet.runners.length),
    String(draining.length),
    fleet.evacuatedDomains.join(" ") || "-",
    String(fleet.gateways.length),
    String(openRequests),
    verdict,
  ];
}

function formatStoreAccess(
  { isConnected, isCurrent, readsStore }: {
    isConnected: boolean;
    isCurrent: boolean;
    readsStore: boolean;
  },
): string {
  if (readsStore) return isConnected ? "available" : "unavailable";
  return isCurrent ? "by a reader" : "outdated";
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
