import { createHash } from "node:crypto";
import { parseDocument, type ParseResult } from "./documents.ts";
import { type Configuration, configurationSchema } from "./schema.ts";
import { findConfigurationFaults } from "./validation.ts";

/** Parses `fleet.jsonc` and collects all faults. */
export function parseConfiguration(
  text: string,
  file = "fleet.jsonc",
): ParseResult<Configuration> {
  return parseDocument(text, {
    file,
    schema: configurationSchema,
    findFaults: findConfigurationFaults,
  });
}

/** Hashes a configuration in canonical form (SHA-256, hexadecimal). */
export function hashConfiguration(body: Configuration): string {
  return createHash("sha256").update(formatCanonical(body)).digest("hex");
}

/** Formats a JSON value in canonical form: sorted keys and no spaces. */
export function formatCanonical(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(formatCanonical).join(",")}]`;
  if (value === null || typeof value !== "object") {
    return JSON.stringify(value) ?? "null";
  }
  const fields = Object.entries(value)
    .filter(([, field]) => field !== undefined)
    .sort(([left], [right]) => left < right ? -1 : 1)
    .map(([key, field]) => `${JSON.stringify(key)}:${formatCanonical(field)}`);
  return `{${fields.join(",")}}`;
}
