import { isSamePosition, type StorePosition } from "@jasminetide/core/store";
import * as z from "zod";
import type { PlatformClient } from "./client.ts";
import type { HostRecord } from "./types.ts";

/** Kind of the platform objects that store drain intents. */
export const drainKind = "drains";

/** Schema of an operator's request to drain a host or runner, or to cancel. */
export const drainIntentSchema = z.object({
  target: z.enum(["host", "runner"]),
  name: z.string().min(1),
  state: z.enum(["draining", "cancelled"]),
  reason: z.string().min(1),
  requestedAtMs: z.number(),
});

/** An operator's request to drain a host or runner, or to cancel that. */
export type DrainIntent = z.output<typeof drainIntentSchema>;

type CachedIntent = { position: StorePosition; intent: DrainIntent };

/** Reads drain intents; caches each until its position changes. */
export class DrainReader {
  readonly #platform: PlatformClient;
  #cache = new Map<string, CachedIntent>();

  private constructor(platform: PlatformClient) {
    this.#platform = platform;
  }

  /** Creates a reader with an empty cache. */
  static create(platform: PlatformClient): DrainReader {
    return new DrainReader(platform);
  }

  /** Loads all intents; throws if one cannot be read or parsed. */
  async load(): Promise<DrainIntent[]> {
    const entries = new Map<string, CachedIntent>();
    for (const { name, position } of await this.#platform.list(drainKind)) {
      const cached = this.#cache.get(name);
      if (cached !== undefined && isSamePosition(cached.position, position)) {
        entries.set(name, cached);
      } else await this.#loadIntent(name, entries);
    }
    this.#cache = entries;
    return [...entries.values()].map(({ intent }) => intent);
  }

  async #loadIntent(
    name: string,
    entries: Map<string, CachedIntent>,
  ): Promise<void> {
    const stored = await this.#platform.get({ kind: drainKind, name });
    if (stored === undefined) return;
    const intent = drainIntentSchema.parse(JSON.parse(stored.value));
    entries.set(name, { position: stored.position, intent });
  }
}

/** Marks hosts and sidecars as leaving where an operator drains them. */
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

/**
 * Splits a host of which only some runners drain into two records: one with
 * the remaining processes, one with the leaving sidecars.
 */
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
