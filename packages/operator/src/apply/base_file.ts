/**
 * Stores, in a file next to a declaration, the current version that the editor
 * last read, so that an edit never silently replaces a change that another
 * editor applied since.
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

/** The version that an edit is based on; version 0 has no body. */
export type DeclarationBase = z.output<typeof baseSchema>;

/** Gets the path of the base file of a declaration. */
export function getBaseFile(fleetFile: string): string {
  return join(dirname(fleetFile), `.${basename(fleetFile)}.base.json`);
}

/** Loads the base; undefined if none is stored for this platform. */
export async function loadBase(
  fleetFile: string,
  platformAddress: string,
): Promise<DeclarationBase | undefined> {
  try {
    const text = await readFile(getBaseFile(fleetFile), "utf8");
    const base = baseSchema.parse(JSON.parse(text));
    return base.platformAddress === platformAddress ? base : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Stores the version that the editor has read.
 *
 * @returns false if the file cannot be written, as in a read-only folder.
 */
export async function recordBase(
  fleetFile: string,
  options: {
    platformAddress: string;
    accepted: AcceptedConfiguration | undefined;
  },
): Promise<boolean> {
  const base: DeclarationBase = {
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
