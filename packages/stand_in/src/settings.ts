import { addressSchema } from "@jasminetide/runtime/settings";
import { z } from "zod";
import { engineProfileShape } from "./engine/mod.ts";

/** Schema of the settings of the stand-ins in a fleet. */
export const standInSettingsSchema = z.strictObject({
  platformAddress: addressSchema,
  /** Delay after which changes of the host list become visible. */
  hostListLagMs: z.number().int().nonnegative().default(500),
  /** Rate at which engines load weights; all engines share it. */
  weightStoreBytesPerSecond: z.number().positive().default(10_000_000_000),
  /** Rate limits of the object API; reads of the host list count too. */
  platformReadsPerSecond: z.number().positive().default(2000),
  platformWritesPerSecond: z.number().positive().default(300),
  ...engineProfileShape,
});

/** Parsed settings of the stand-ins in a fleet. */
export type StandInSettings = z.output<typeof standInSettingsSchema>;
