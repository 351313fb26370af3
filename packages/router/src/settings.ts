import {
  addressSchema,
  processSettingsShape,
} from "@jasminetide/runtime/settings";
import { z } from "zod";

/** Settings of a router. */
export const routerSettingsSchema = z.strictObject({
  ...processSettingsShape,
  /** Address for callers. */
  callerAddress: addressSchema,
});

/** Settings of a router, parsed. */
export type RouterSettings = z.output<typeof routerSettingsSchema>;
