import { normalizeError } from "@jasminetide/core/results";
import PQueue from "p-queue";
import * as z from "zod";
import { type DumpOptions, fetchDump } from "../connection/mod.ts";

/** Status of one gateway. */
export type GatewayStatus = {
  /** `ip:port` that was queried. */
  address: string;
  /** Undefined if the gateway could not be queried. */
  state?: GatewayDump;
  /** Why the gateway could not be queried. */
  detail?: string;
};

/** Status of several gateways. */
export type GatewaysStatus = {
  /** Newest version that is current at any of them, 0 before the first. */
  newestVersion: number;
  gateways: GatewayStatus[];
};

const dumpSchema = z.object({
  process: z.object({ name: z.string() }),
  isReady: z.boolean(),
  openRequests: z.number(),
  fleet: z.object({
    isConnected: z.boolean(),
    /** Whether its state was confirmed a short time ago. */
    isCurrent: z.boolean(),
    /** Whether it reads the store itself, instead of following a reader. */
    readsStore: z.boolean(),
    declarationVersion: z.number(),
    gateways: z.array(z.string()),
    evacuatedDomains: z.array(z.string()).default([]),
    runners: z.array(z.object({ isDraining: z.boolean() })),
  }),
});

type GatewayDump = z.output<typeof dumpSchema>;

const maxConcurrentDumps = 16;

/** Loads the status of gateways from their dumps. */
export async function loadGatewaysStatus(
  addresses: readonly string[],
  options: DumpOptions,
): Promise<GatewaysStatus> {
  const queue = new PQueue({ concurrency: maxConcurrentDumps });
  const gateways = await Promise.all(
    addresses.map((address) => queue.add(() => loadGateway(address, options))),
  );
  const versions = gateways.map(({ state }) =>
    state?.fleet.declarationVersion ?? 0
  );
  return { newestVersion: Math.max(0, ...versions), gateways };
}

async function loadGateway(
  address: string,
  options: DumpOptions,
): Promise<GatewayStatus> {
  try {
    const dump = await fetchDump(address, options);
    return { address, state: dumpSchema.parse(dump) };
  } catch (thrown) {
    return { address, detail: normalizeError(thrown).message };
  }
}
