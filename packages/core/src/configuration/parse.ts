import { createHash } from "node:crypto";
import {
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import type { z } from "zod";
import { AppError } from "../results/mod.ts";
import { type Configuration, configurationSchema } from "./schema.ts";

/** One fault in a JSONC document. */
export type Fault = {
  file: string;
  /** From 1. */
  line: number;
  /** Dotted path with indices, such as `exceptions[3].reason`. */
  path: string;
  message: string;
};

/** What parsing gave: the value, or all faults at once. */
export type ParseResult<Value> =
  | { type: "parsed"; value: Value }
  | { type: "faulty"; faults: Fault[] };

/** Parses JSON with comments against a schema and reports every fault. */
export function parseDocument<Schema extends z.ZodType>(
  text: string,
  options: { file: string; schema: Schema },
): ParseResult<z.output<Schema>> {
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || tree === undefined) {
    return { type: "faulty", faults: formatSyntax(text, options.file, errors) };
  }
  const result = options.schema.safeParse(getNodeValue(tree));
  if (result.success) return { type: "parsed", value: result.data };
  const faults = result.error.issues.map((issue) =>
    formatIssue(issue, { text, file: options.file, tree })
  );
  return { type: "faulty", faults };
}

/** Parses `fleet.jsonc`. */
export function parseConfiguration(
  text: string,
  file = "fleet.jsonc",
): ParseResult<Configuration> {
  return parseDocument(text, { file, schema: configurationSchema });
}

/** Parses a document and throws one error that names every fault. */
export function requireDocument<Schema extends z.ZodType>(
  text: string,
  options: { file: string; schema: Schema },
): z.output<Schema> {
  const result = parseDocument(text, options);
  if (result.type === "parsed") return result.value;
  throw AppError.create("invalidSettings", formatFaults(result.faults));
}

/** Formats faults, a line each. */
export function formatFaults(faults: Fault[]): string {
  return faults.map((fault) =>
    `Cannot parse "${fault.file}" line ${fault.line}: ` +
    `${fault.path === "" ? "document" : fault.path}: ${fault.message}`
  ).join("\n");
}

/** Hashes a configuration in canonical form (sorted keys). */
export function hashConfiguration(body: Configuration): string {
  return createHash("sha256").update(formatCanonical(body)).digest("hex");
}

/** Formats a JSON value with sorted keys and no spaces. */
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

function formatSyntax(
  text: string,
  file: string,
  errors: ParseError[],
): Fault[] {
  if (errors.length === 0) {
    return [{ file, line: 1, path: "", message: "Empty, expected an object" }];
  }
  return errors.map((error) => ({
    file,
    line: getLine(text, error.offset),
    path: "",
    message: printParseErrorCode(error.error),
  }));
}

function formatIssue(
  issue: z.core.$ZodIssue,
  document: { text: string; file: string; tree: Node },
): Fault {
  return {
    file: document.file,
    line: getLine(document.text, findOffset(document.tree, issue.path)),
    path: formatPath(issue.path),
    message: issue.message,
  };
}

/** Offset of the deepest node on the path that exists. */
function findOffset(tree: Node, path: PropertyKey[]): number {
  let node = tree;
  for (const segment of path) {
    const child = typeof segment === "number"
      ? node.children?.[segment]
      : node.children?.find((property) =>
        property.children?.[0]?.value === segment
      )?.children?.[1];
    if (child === undefined) break;
    node = child;
  }
  return node.offset;
}

function formatPath(path: PropertyKey[]): string {
  return path.map((segment, index) => {
    if (typeof segment === "number") return `[${segment}]`;
    return index === 0 ? String(segment) : `.${String(segment)}`;
  }).join("");
}

function getLine(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}
