import { fetchDump, listProcesses } from "@jasminetide/operator/connection";
import { PlatformClient } from "@jasminetide/runtime/platform";
import { z } from "zod";
import type { HistoryEvent } from "../history/mod.ts";

/** Options for sampling the configuration versions of processes. */
export type SamplerOptions = {
  platformAddress: string;
  operatorKey: string;
  getNowMs: () => number;
  record: (event: HistoryEvent) => void;
};

const dumpSchema = z.object({ configurationVersion: z.number().int() });

/** Records the current configuration version of each reachable process. */
export async function recordConfigurations(
  options: SamplerOptions,
): Promise<void> {
  await using platform = PlatformClient.create({
    address: options.platformAddress,
  });
  let processes: ReturnType<typeof listProcesses>;
  try {
    processes = listProcesses(await platform.loadHosts());
  } catch {
    // Processes are unknown without the host list; the next sample retries.
    return;
  }
  await Promise.all(processes.map(async ({ name, controlAddress }) => {
    try {
      const dump = await fetchDump(controlAddress, options);
      const { configurationVersion: version } = dumpSchema.parse(dump);
      const atMs = options.getNowMs();
      options.record({ type: "configuration", process: name, atMs, version });
    } catch {
      // A stopped process cannot be sampled.
    }
  }));
}
