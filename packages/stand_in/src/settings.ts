import { addressSchema } from "@jasminetide/runtime/settings";
import { z } from "zod";

/** Settings of the stand-ins of one fleet. */
export const standInSettingsSchema = z.strictObject({
  platformAddress: addressSchema,
  hostListLagMs: z.number().int().nonnegative().default(500),
  firstTokenMs: z.number().nonnegative().default(20),
  betweenTokensMs: z.number().nonnegative().default(5),
});

/** Settings of the stand-ins, parsed. */
export type StandInSettings = z.output<typeof standInSettingsSchema>;
