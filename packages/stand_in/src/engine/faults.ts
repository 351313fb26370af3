import { z } from "zod";

/** Schema of the faults that an engine can be told to show. */
export const engineFaultsSchema = z.strictObject({
  /** Answers with an error before anything has run. */
  refuse: z.boolean().default(false),
  /** Runs the request and closes the connection before the first byte. */
  failBeforeFirstByte: z.boolean().default(false),
  /** Closes the connection after this many tokens. */
  cutAfterTokens: z.number().int().nonnegative().optional(),
  /** Stays silent, with the connection open, after this many tokens. */
  stallAfterTokens: z.number().int().nonnegative().optional(),
  /** Requests that are affected; absent means all. */
  requests: z.number().int().nonnegative().optional(),
});

/** Faults that an engine shows. */
export type EngineFaults = z.output<typeof engineFaultsSchema>;

/** Creates switches that are all off. */
export function createEngineFaults(
  faults: z.input<typeof engineFaultsSchema> = {},
): EngineFaults {
  return engineFaultsSchema.parse(faults);
}

/** Takes the faults of one request; each counts towards `requests`. */
export function takeFaults(faults: EngineFaults): EngineFaults {
  if (faults.requests === 0) return createEngineFaults();
  const taken = { ...faults };
  if (faults.requests !== undefined) faults.requests -= 1;
  return taken;
}
