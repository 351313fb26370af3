import { readFile } from "node:fs/promises";
import {
  type Configuration,
  formatFaults,
  parseConfiguration,
} from "@jasminetide/core/configuration";
import { AppError } from "@jasminetide/core/results";

/**
 * Loads a declaration from a file.
 *
 * @throws AppError `invalidConfiguration` that names every fault.
 */
export async function loadDeclarationFile(
  file: string,
): Promise<Configuration> {
  const result = parseConfiguration(await loadText(file), file);
  if (result.type === "parsed") return result.value;
  throw AppError.create("invalidConfiguration", formatFaults(result.faults));
}

/** Loads a text file or throws AppError `invalidSettings`. */
export async function loadText(file: string): Promise<string> {
  try {
    return await readFile(file, "utf8");
  } catch (error) {
    throw AppError.create("invalidSettings", `Cannot read "${file}"`, {
      cause: error,
    });
  }
}
