import type { HostRecord } from "@jasminetide/runtime/platform";
import { z } from "zod";

const text = z.string().min(1);

const processSchema = z.discriminatedUnion("type", [
  z.strictObject({
    type: z.literal("router"),
    name: text,
    controlAddress: text,
  }),
  z.strictObject({
    type: z.literal("sidecar"),
    name: text,
    runner: text,
    kind: z.enum(["engine", "service"]),
    pools: z.array(text),
    capacity: z.number().positive(),
    dataAddress: text,
    controlAddress: text,
  }),
]);

/** Schema of a host record without its id, which is in the request path. */
export const hostRecordSchema = z.object({
  failureDomain: text,
  region: text.default("default"),
  state: z.enum(["live", "leaving"]).default("live"),
  processes: z.array(processSchema),
}) satisfies z.ZodType<Omit<HostRecord, "id">>;
