import type { LimitStatement } from "@jasminetide/core/limits";
import * as z from "zod";
import { maxIdLength } from "../peers/evidence_schema.ts";

/** Maximum number of statements in one message. */
const maxStatements = 2000;

/** Schema of what a gateway has learned of the limits of runners. */
export const limitStatementsSchema: z.ZodType<LimitStatement[]> = z.array(
  z.object({
    runnerId: z.string().max(maxIdLength),
    startedAtMs: z.number(),
    perSecond: z.number().nonnegative().optional(),
    ageMs: z.number().nonnegative(),
  }),
).max(maxStatements);
