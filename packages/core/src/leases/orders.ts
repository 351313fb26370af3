import * as z from "zod";

const name = z.string().min(1);

/** Schema of an order to a runner. */
export const runnerOrderSchema = z.discriminatedUnion("type", [
  z.strictObject({ type: z.literal("load-model"), model: name, version: name }),
  z.strictObject({
    type: z.literal("load-adapter"),
    model: name,
    adapter: name,
  }),
  z.strictObject({ type: z.literal("unload-model"), model: name }),
  z.strictObject({
    type: z.literal("set-role"),
    role: z.enum(["mixed", "prefill", "decode"]),
  }),
]);

/** An order to a runner: load or unload a model, or change its role. */
export type RunnerOrder = z.output<typeof runnerOrderSchema>;

/** Schema of an order with the fencing number of its lease. */
export const fencedOrderSchema = z.strictObject({
  duty: name,
  fencingNumber: z.number().int().nonnegative(),
  order: runnerOrderSchema,
});

/** An order with the fencing number of the lease it was issued under. */
export type FencedOrder = z.output<typeof fencedOrderSchema>;
