import {
  type ListedMember,
  type MembershipTables,
  selectByHash,
} from "@jasminetide/core/membership";
import type { HostProcess, HostRecord } from "../platform/mod.ts";

/** Shortest time between two reads of the host list by one process. */
const minimumReadPeriodMs = 1000;

/** Processes per failure domain that read the list at the shortest period. */
const frequentReadersPerDomain = 3;

/** Upper limit on the reads per second of all other processes together. */
const maximumReadsPerSecond = 100;

/** Lists the members that are named in the host list. */
export function listMembers(hosts: HostRecord[]): ListedMember[] {
  return hosts.flatMap((host) =>
    host.processes.map((process) => createListedMember(host, process))
  );
}

/**
 * Gets the time until this process reads the host list again. A few processes
 * of each failure domain, chosen by hash, read it every second and report
 * leaving members to the others. The rest read less often the more members
 * there are, so that the reads of the whole fleet stay bounded.
 */
export function getReadPeriodMs(tables: MembershipTables): number {
  if (isFrequentReader(tables)) return minimumReadPeriodMs;
  return minimumReadPeriodMs *
    Math.max(1, tables.members.size / maximumReadsPerSecond);
}

/**
 * Checks whether this process is one of the few of its failure domain that read
 * the platform at the shortest period.
 */
export function isFrequentReader(tables: MembershipTables): boolean {
  const { failureDomain } = tables.self.identity;
  return selectByHash(tables, failureDomain, frequentReadersPerDomain)
    .includes(tables.self);
}

function createListedMember(
  host: HostRecord,
  process: HostProcess,
): ListedMember {
  const isSidecar = process.type === "sidecar";
  return {
    state: host.state,
    capacity: isSidecar ? process.capacity : 1,
    identity: {
      type: process.type,
      name: process.name,
      host: host.id,
      failureDomain: host.failureDomain,
      region: host.region,
      controlAddress: process.controlAddress,
      ...(isSidecar
        ? {
          runner: {
            id: process.runner,
            kind: process.kind,
            pools: process.pools,
            dataAddress: process.dataAddress,
          },
        }
        : {}),
    },
  };
}
