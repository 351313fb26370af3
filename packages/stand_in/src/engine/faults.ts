import { z } from "zod";

/** Schema of the faults that can be injected into an engine. */
export const engineFaultsSchema = z.strictObject({
  /** Answers with an error without running the request. */
  refuse: z.boolean().default(false),
  /** Runs the request and closes the connection before the first byte. */
  failBeforeFirstByte: z.boolean().default(false),
  /** Closes the connection after this many tokens. */
  cutAfterTokens: z.number().int().nonnegative().optional(),
  /** Sends nothing after this many tokens but keeps the connection open. */
  stallAfterTokens: z.number().int().nonnegative().optional(),
  /** Number of requests that are still to be affected; absent means all. */
  requests: z.number().int().nonnegative().optional(),
});

/** Faults injected into an engine. */
export type EngineFaults = z.output<typeof engineFaultsSchema>;

/** Creates faults; those that are not given are disabled. */
export function createEngineFaults(
  faults: z.input<typeof engineFaultsSchema> = {},
): EngineFaults {
  return engineFaultsSchema.parse(faults);
}

/** Returns the faults of the next request and decrements `requests`. */
export function takeFaults(faults: EngineFaults): EngineFaults {
  if (faults.requests === 0) return createEngineFaults();
  const taken = { ...faults };
  if (faults.requests !== undefined) faults.requests -= 1;
  return taken;
}
