import * as z from "zod";
import type { ScopedKey } from "./key.ts";

/** Where an object of the ledger stands in the platform. */
export type LedgerObject = { kind: string; name: string };

/** Kind of the journal heads. */
export const headKind = "ledger";

/** Names the head of a shard. */
export function formatHeadObject(service: string, shard: number): LedgerObject {
  return { kind: headKind, name: `${service}.${shard}` };
}

/** Names a segment of a shard. */
export function formatSegmentObject(
  segment: { service: string; shard: number; slot: number },
): LedgerObject {
  const { service, shard, slot } = segment;
  return { kind: "ledger-segment", name: `${service}.${shard}.${slot}` };
}

/** Names the object that fixes the number of shards of a service. */
export function formatLayoutObject(service: string): LedgerObject {
  return { kind: "ledger-layout", name: service };
}

/** Names the operators' resolutions of a shard's unknown outcomes. */
export function formatResolutionsObject(
  service: string,
  shard: number,
): LedgerObject {
  return { kind: "ledger-resolution", name: `${service}.${shard}` };
}

/** The number of shards; once written it never changes. */
export const layoutSchema = z.object({
  shardCount: z.number().int().positive(),
});

/** The number of shards of a service. */
export type Layout = z.output<typeof layoutSchema>;

/** What operators found out of an unknown outcome. */
export const resolutionSchema = z.object({
  executed: z.enum(["yes", "no"]),
  reason: z.string().trim().min(1, "Reason is empty, expected a sentence"),
  resolvedBy: z.string().min(1),
  resolvedAtMs: z.number(),
});

/** What operators found out of an unknown outcome. */
export type Resolution = z.output<typeof resolutionSchema>;

/** Resolutions of a shard by key. */
export const resolutionsSchema = z.record(z.string(), resolutionSchema);

/** Resolutions of a shard by key. */
export type Resolutions = { [key: ScopedKey]: Resolution };
