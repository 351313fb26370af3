import {
  type ListedMember,
  type MembershipTables,
  selectByHash,
} from "@jasminetide/core/membership";
import type { HostProcess, HostRecord } from "../platform/mod.ts";

const promptPeriodMs = 1000;

/** Processes of a failure domain that read the list at the prompt period. */
const promptReaders = 3;

/** Share of reads that all other processes add, per second and member. */
const membersPerReadPerSecond = 100;

/** Gets the members that the host list names. */
export function listMembers(hosts: HostRecord[]): ListedMember[] {
  return hosts.flatMap((host) =>
    host.processes.map((process) => createListed(host, process))
  );
}

/**
 * Gets the time until this process reads the host list again. A few processes
 * of each failure domain, chosen by hash, read it each second and tell others
 * what leaves; the rest read more seldom the more members there are, so that
 * the reads of the whole fleet stay bounded.
 */
export function getReadPeriodMs(tables: MembershipTables): number {
  if (isPromptReader(tables)) return promptPeriodMs;
  return promptPeriodMs *
    Math.max(1, tables.members.size / membersPerReadPerSecond);
}

/** Says whether this process is one of the few that follow the platform. */
export function isPromptReader(tables: MembershipTables): boolean {
  const { failureDomain } = tables.self.identity;
  return selectByHash(tables, failureDomain, promptReaders)
    .includes(tables.self);
}

function createListed(host: HostRecord, process: HostProcess): ListedMember {
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
