/** Schemas of the control messages between processes. */
import { z } from "zod";

/** Question about an attempt whose own answer did not arrive. */
export const settleSchema = z.object({
  attempt: z.string().min(1),
  epoch: z.number().int(),
});
