import {
  addressSchema,
  processSettingsShape,
} from "@jasminetide/runtime/settings";
import { z } from "zod";

/** Schema of the settings of a router. */
export const routerSettingsSchema = z.strictObject({
  ...processSettingsShape,
  /** Address (`ip:port`) of the listener for callers. */
  callerAddress: addressSchema,
});

/** Parsed settings of a router. */
export type RouterSettings = z.output<typeof routerSettingsSchema>;
