import { fetchDump, listProcesses } from "@jasminetide/operator/connection";
import { PlatformClient } from "@jasminetide/runtime/platform";
import { z } from "zod";
import type { HistoryEvent } from "../history/mod.ts";

/** How processes are asked for their configuration. */
export type SamplerOptions = {
  platformAddress: string;
  operatorKey: string;
  getNowMs: () => number;
  record: (event: HistoryEvent) => void;
};

const dumpSchema = z.object({ configurationVersion: z.number().int() });

/** Records the version in force in each process that answers. */
export async function recordConfigurations(
  options: SamplerOptions,
): Promise<void> {
  await using platform = PlatformClient.create({
    address: options.platformAddress,
  });
  let entries: ReturnType<typeof listProcesses>;
  try {
    entries = listProcesses(await platform.loadHosts());
  } catch {
    // Without the host list nobody can be asked; the next sample tries again.
    return;
  }
  await Promise.all(entries.map(async ({ name, controlAddress }) => {
    try {
      const dump = await fetchDump(controlAddress, options);
      const { configurationVersion: version } = dumpSchema.parse(dump);
      const atMs = options.getNowMs();
      options.record({ type: "configuration", process: name, atMs, version });
    } catch {
      // A process that was stopped tells nothing.
    }
  }));
}
