import { readFile } from "node:fs/promises";
import {
  type Configuration,
  formatFaults,
  parseConfiguration,
} from "@jasminetide/core/configuration";
import { AppError } from "@jasminetide/core/results";

/** A declaration as text and parsed. */
export type Declaration = { text: string; body: Configuration };

/**
 * Loads a declaration from a file.
 *
 * @throws AppError `invalidConfiguration` that lists every fault.
 */
export async function loadDeclarationFile(file: string): Promise<Declaration> {
  const text = await loadText(file);
  const result = parseConfiguration(text, file);
  if (result.type === "parsed") return { text, body: result.value };
  throw AppError.create("invalidConfiguration", formatFaults(result.faults));
}

/**
 * Loads a text file.
 *
 * @throws AppError `invalidSettings` if it cannot be read.
 */
export async function loadText(file: string): Promise<string> {
  try {
    return await readFile(file, "utf8");
  } catch (error) {
    throw AppError.create("invalidSettings", `Cannot read "${file}"`, {
      cause: error,
    });
  }
}
