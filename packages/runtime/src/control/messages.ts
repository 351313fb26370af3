/** Schemas of the control messages between processes. */
import * as z from "zod";

/** Workspaces that one wish for quota may name. */
export const maximumQuotaWishes = 256;

const amountSchema = z.number().nonnegative();

/** Workspaces with the requests and tokens that a router wants for each. */
export const quotaWishesSchema = z
  .array(z.tuple([z.string().min(1), amountSchema, amountSchema]))
  .max(maximumQuotaWishes);

/** A workspace with the requests and tokens that a router wants for it. */
export type QuotaWishMessage = z.output<typeof quotaWishesSchema>[number];

/** Requests and tokens granted, in the order of the wishes. */
export type QuotaGrantMessage = [requests: number, tokens: number];

/** Claims that one message may carry. */
export const maximumClaims = 256;

/** Chats of the receiver that are held by other runners. */
export const chatClaimsSchema = z.array(z.object({
  /** Chat key in hexadecimal. */
  chatKey: z.string().regex(/^[0-9a-f]{1,16}$/),
  runner: z.string().min(1),
  tokens: z.number().int().nonnegative(),
})).max(maximumClaims);
