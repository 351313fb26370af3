import type { Evidence } from "@jasminetide/core/quarantine";
import * as z from "zod";

/** Maximum length of ids that gateways send to each other. */
export const maxIdLength = 200;

/** Maximum number of parts of one prompt that gateways send to each other. */
export const maxPartCount = 32;

/** Maximum number of crashes, and of sound parts, in one message. */
const maxItems = 2000;

const idSchema = z.string().max(maxIdLength);

const ageMsSchema = z.number().nonnegative();

/** Schema of what a gateway knows of crashes. */
export const evidenceSchema: z.ZodType<Evidence> = z.object({
  crashes: z.array(z.object({
    process: idSchema,
    request: idSchema,
    partIds: z.array(idSchema).min(1).max(maxPartCount),
    triedPartIds: z.array(idSchema).max(maxPartCount).optional(),
    ageMs: ageMsSchema,
  })).max(maxItems),
  sound: z.array(z.object({ partId: idSchema, ageMs: ageMsSchema }))
    .max(maxItems),
});
