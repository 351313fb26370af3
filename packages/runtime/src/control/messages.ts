/** Schemas of the control messages between processes. */
import * as z from "zod";

/** Maximum number of workspaces in one message of quota requests. */
export const maximumQuotaRequests = 256;

const amountSchema = z.number().nonnegative();

/** Workspaces with the requests and tokens that a router requests for each. */
export const quotaRequestsSchema = z
  .array(z.tuple([z.string().min(1), amountSchema, amountSchema]))
  .max(maximumQuotaRequests);

/** A workspace with the requests and tokens that a router requests for it. */
export type QuotaRequestMessage = z.output<typeof quotaRequestsSchema>[number];

/** Requests and tokens granted for one workspace. */
export type QuotaGrantMessage = [requests: number, tokens: number];

/** Maximum number of chat claims in one message. */
export const maximumClaims = 256;

/** Chats whose home is the receiver and that other runners hold. */
export const chatClaimsSchema = z.array(z.object({
  /** Chat key in hexadecimal. */
  chatKey: z.string().regex(/^[0-9a-f]{1,16}$/),
  runner: z.string().min(1),
  tokens: z.number().int().nonnegative(),
})).max(maximumClaims);
