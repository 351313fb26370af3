import * as z from "zod";
import type { ScopedKey } from "./key.ts";

/** Address of a ledger object in the platform's object store. */
export type LedgerObject = { kind: string; name: string };

/** Object kind of journal heads. */
export const headKind = "ledger";

/** Formats the address of a shard's journal head. */
export function formatHeadObject(service: string, shard: number): LedgerObject {
  return { kind: headKind, name: `${service}.${shard}` };
}

/** Formats the address of one of a shard's segments. */
export function formatSegmentObject(
  segment: { service: string; shard: number; slot: number },
): LedgerObject {
  const { service, shard, slot } = segment;
  return { kind: "ledger-segment", name: `${service}.${shard}.${slot}` };
}

/** Formats the address of the object that fixes a service's shard count. */
export function formatLayoutObject(service: string): LedgerObject {
  return { kind: "ledger-layout", name: service };
}

/** Formats the address of operators' resolutions of unknown outcomes. */
export function formatResolutionsObject(
  service: string,
  shard: number,
): LedgerObject {
  return { kind: "ledger-resolution", name: `${service}.${shard}` };
}

/** Schema of the shard count of a service, which never changes once written. */
export const layoutSchema = z.object({
  shardCount: z.number().int().positive(),
});

/** Shard count of a service. */
export type Layout = z.output<typeof layoutSchema>;

/** Schema of an operator's resolution of an unknown outcome. */
export const resolutionSchema = z.object({
  executed: z.enum(["yes", "no"]),
  reason: z.string().trim().min(1, "Reason is empty, expected a sentence"),
  resolvedBy: z.string().min(1),
  resolvedAtMs: z.number(),
});

/** An operator's finding on whether a call of unknown outcome executed. */
export type Resolution = z.output<typeof resolutionSchema>;

/** Schema of a shard's resolutions by key. */
export const resolutionsSchema = z.record(z.string(), resolutionSchema);

/** Resolutions of a shard by key. */
export type Resolutions = { [key: ScopedKey]: Resolution };
