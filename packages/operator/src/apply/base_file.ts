/**
 * Remembers beside a declaration which version the editor last saw in force,
 * so that an edit never silently replaces what another editor applied since.
 */
import { readFile, writeFile } from "node:fs/promises";
import { basename, dirname, join } from "node:path";
import {
  type AcceptedConfiguration,
  configurationSchema,
} from "@jasminetide/core/configuration";
import { z } from "zod";

const baseSchema = z.object({
  platformAddress: z.string(),
  version: z.number().int().nonnegative(),
  hash: z.string(),
  body: configurationSchema.optional(),
});

/** A version that an editor has seen; version 0 has no body. */
export type Base = z.output<typeof baseSchema>;

/** Gets the place of the base beside a declaration. */
export function getBaseFile(fleetFile: string): string {
  return join(dirname(fleetFile), `.${basename(fleetFile)}.base.json`);
}

/** Loads the base, or undefined where none is known for this platform. */
export async function loadBase(
  fleetFile: string,
  platformAddress: string,
): Promise<Base | undefined> {
  try {
    const text = await readFile(getBaseFile(fleetFile), "utf8");
    const base = baseSchema.parse(JSON.parse(text));
    return base.platformAddress === platformAddress ? base : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Records the version that an editor has now seen.
 *
 * @returns whether it was kept; a read-only folder keeps none.
 */
export async function recordBase(
  fleetFile: string,
  options: {
    platformAddress: string;
    accepted: AcceptedConfiguration | undefined;
  },
): Promise<boolean> {
  const base: Base = {
    platformAddress: options.platformAddress,
    version: options.accepted?.version ?? 0,
    hash: options.accepted?.hash ?? "",
    ...(options.accepted === undefined ? {} : { body: options.accepted.body }),
  };
  try {
    await writeFile(getBaseFile(fleetFile), `${JSON.stringify(base)}\n`);
    return true;
  } catch {
    return false;
  }
}
