import { addressSchema } from "@jasminetide/runtime/settings";
import { z } from "zod";
import { engineProfileShape } from "./engine/mod.ts";

/** Settings of `jasminetide-stand-in platform`. */
export const platformSettingsSchema = z.strictObject({
  address: addressSchema,
  /** Delay after which changes of the host list become visible. */
  hostListLagMs: z.number().int().nonnegative().default(500),
  /** Rate limits of the object API; reads of the host list count too. */
  readsPerSecond: z.number().positive().default(2000),
  writesPerSecond: z.number().positive().default(300),
  /** Seed of the random faults. */
  seed: z.number().int().default(1),
});

/** Settings of `jasminetide-stand-in platform`, parsed. */
export type PlatformSettings = z.output<typeof platformSettingsSchema>;

/** Settings of `jasminetide-stand-in engine`. */
export const engineSettingsSchema = z.strictObject({
  address: addressSchema,
  models: z.array(z.string().min(1)).min(1),
  /** Rate at which the engine loads weights. */
  weightStoreBytesPerSecond: z.number().positive().default(10_000_000_000),
  /** Seed of the random faults. */
  seed: z.number().int().default(1),
  ...engineProfileShape,
});

/** Settings of `jasminetide-stand-in engine`, parsed. */
export type EngineSettings = z.output<typeof engineSettingsSchema>;

/** Settings of `jasminetide-stand-in service`. */
export const serviceSettingsSchema = z.strictObject({
  address: addressSchema,
  /** Name of the service, the first segment of its paths. */
  service: z.string().min(1).default("deposit-ledger"),
});

/** Settings of `jasminetide-stand-in service`, parsed. */
export type ServiceSettings = z.output<typeof serviceSettingsSchema>;
