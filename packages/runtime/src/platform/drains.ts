import * as z from "zod";
import type { PlatformClient } from "./client.ts";
import type { HostRecord } from "./types.ts";

/** Kind of the platform's objects that hold drain intents. */
export const drainKind = "drains";

/** Schema of an operator's intent that a host or runner drains, or no more. */
export const drainIntentSchema = z.object({
  target: z.enum(["host", "runner"]),
  name: z.string().min(1),
  state: z.enum(["draining", "cancelled"]),
  reason: z.string().min(1),
  requestedAtMs: z.number(),
});

/** An operator's intent that a host or runner drains, or no longer. */
export type DrainIntent = z.output<typeof drainIntentSchema>;

/** Reads the drain intents; a text is fetched only when its version is new. */
export class DrainReader {
  readonly #platform: PlatformClient;
  #known = new Map<string, { version: number; intent: DrainIntent }>();

  private constructor(platform: PlatformClient) {
    this.#platform = platform;
  }

  /** Creates a reader that knows no intents. */
  static create(platform: PlatformClient): DrainReader {
    return new DrainReader(platform);
  }

  /** Loads the intents in force; what cannot be read throws. */
  async load(): Promise<DrainIntent[]> {
    const known = new Map<string, { version: number; intent: DrainIntent }>();
    for (const { name, version } of await this.#platform.list(drainKind)) {
      const before = this.#known.get(name);
      if (before?.version === version) known.set(name, before);
      else await this.#loadOne(name, known);
    }
    this.#known = known;
    return [...known.values()].map(({ intent }) => intent);
  }

  async #loadOne(
    name: string,
    known: Map<string, { version: number; intent: DrainIntent }>,
  ): Promise<void> {
    const stored = await this.#platform.get({ kind: drainKind, name });
    if (stored === undefined) return;
    const intent = drainIntentSchema.parse(JSON.parse(stored.value));
    known.set(name, { version: stored.version, intent });
  }
}

/** Marks the hosts and processes that an operator drains as leaving. */
export function applyDrains(
  hosts: HostRecord[],
  intents: DrainIntent[],
): HostRecord[] {
  const draining = new Set(
    intents.filter((intent) => intent.state === "draining")
      .map((intent) => `${intent.target} ${intent.name}`),
  );
  if (draining.size === 0) return hosts;
  return hosts.flatMap((host) => splitHost(host, draining));
}

/** A host of which only one runner drains stands in the list twice. */
function splitHost(host: HostRecord, draining: Set<string>): HostRecord[] {
  if (draining.has(`host ${host.id}`)) return [{ ...host, state: "leaving" }];
  const leaving = host.processes.filter((process) =>
    process.type === "sidecar" && draining.has(`runner ${process.runner}`)
  );
  if (leaving.length === 0) return [host];
  const staying = host.processes.filter((process) =>
    !leaving.includes(process)
  );
  return [
    { ...host, processes: staying },
    { ...host, processes: leaving, state: "leaving" },
  ];
}
