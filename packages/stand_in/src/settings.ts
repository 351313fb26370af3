import { addressSchema } from "@jasminetide/runtime/settings";
import { z } from "zod";
import { engineProfileShape } from "./engine/mod.ts";

/** Settings of the stand-ins of one fleet. */
export const standInSettingsSchema = z.strictObject({
  platformAddress: addressSchema,
  hostListLagMs: z.number().int().nonnegative().default(500),
  weightStoreBytesPerSecond: z.number().positive().default(10_000_000_000),
  /** Calls that the object API and the host list take. */
  platformReadsPerSecond: z.number().positive().default(2000),
  platformWritesPerSecond: z.number().positive().default(300),
  ...engineProfileShape,
});

/** Settings of the stand-ins, parsed. */
export type StandInSettings = z.output<typeof standInSettingsSchema>;
