import {
  addressSchema,
  processSettingsShape,
} from "@jasminetide/runtime/settings";
import { z } from "zod";

/** Settings of a sidecar. */
export const sidecarSettingsSchema = z.strictObject({
  ...processSettingsShape,
  /** Name of this sidecar's runner. */
  runner: z.string().min(1),
  kind: z.enum(["engine", "service"]),
  /** Names of the models or of the service that the runner serves. */
  pools: z.array(z.string().min(1)).min(1),
  capacity: z.number().positive().default(1),
  /** Address at which the sidecar listens for routers. */
  dataAddress: addressSchema,
  /** Address that routers connect to, if it differs from `dataAddress`. */
  advertisedDataAddress: addressSchema.optional(),
  /** Address of the runner itself. */
  runnerAddress: addressSchema,
});

/** Settings of a sidecar, parsed. */
export type SidecarSettings = z.output<typeof sidecarSettingsSchema>;
