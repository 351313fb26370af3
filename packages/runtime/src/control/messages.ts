/** Schemas of the control messages between processes. */
import { z } from "zod";

/** Question about an attempt whose own answer did not arrive. */
export const settleSchema = z.object({
  attempt: z.string().min(1),
  epoch: z.number().int(),
});

/** Claims that one message may carry. */
export const maximumClaims = 256;

/** Chats of the receiver that are held by other runners. */
export const chatClaimsSchema = z.array(z.object({
  /** Chat key in hexadecimal. */
  chatKey: z.string().regex(/^[0-9a-f]{1,16}$/),
  runner: z.string().min(1),
  tokens: z.number().int().nonnegative(),
})).max(maximumClaims);
