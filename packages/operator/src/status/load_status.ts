import { normalizeError } from "@jasminetide/core/results";
import type { PlatformClient } from "@jasminetide/runtime/platform";
import PQueue from "p-queue";
import { z } from "zod";
import {
  type DumpOptions,
  fetchDump,
  listProcesses,
  type ProcessEntry,
} from "../connection/mod.ts";
import { loadDeclaration } from "../declaration/mod.ts";

/** Status of one process. */
export type ProcessStatus = ProcessEntry & {
  /** Current version; undefined if the process could not be queried. */
  version?: number;
  drift: "none" | "behind" | "ahead" | "unreachable";
  /** Why the process could not be queried. */
  detail?: string;
};

/** Status of a fleet. */
export type FleetStatus = {
  /** Version that the platform has accepted, 0 before the first. */
  acceptedVersion: number;
  processes: ProcessStatus[];
};

const dumpSchema = z.object({ configurationVersion: z.number() });

const maxConcurrentDumps = 16;

/** Loads the current version of each process in the host list. */
export async function loadStatus(
  platform: PlatformClient,
  options: DumpOptions,
): Promise<FleetStatus> {
  const accepted = await loadDeclaration(platform);
  const acceptedVersion = accepted?.version ?? 0;
  const entries = listProcesses(await platform.loadHosts());
  const queue = new PQueue({ concurrency: maxConcurrentDumps });
  const processes = await Promise.all(
    entries.map((entry) =>
      queue.add(() => loadProcess(entry, { ...options, acceptedVersion }))
    ),
  );
  return { acceptedVersion, processes };
}

async function loadProcess(
  entry: ProcessEntry,
  options: DumpOptions & { acceptedVersion: number },
): Promise<ProcessStatus> {
  try {
    const dump = await fetchDump(entry.controlAddress, options);
    const { configurationVersion: version } = dumpSchema.parse(dump);
    return { ...entry, version, drift: getDrift(version, options) };
  } catch (thrown) {
    const detail = normalizeError(thrown).message;
    return { ...entry, drift: "unreachable", detail };
  }
}

function getDrift(
  version: number,
  options: { acceptedVersion: number },
): ProcessStatus["drift"] {
  if (version === options.acceptedVersion) return "none";
  return version < options.acceptedVersion ? "behind" : "ahead";
}
