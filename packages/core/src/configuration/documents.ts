/** Parses JSON with comments and validates it against a schema. */
import {
  createScanner,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import * as z from "zod";
import { AppError } from "../results/mod.ts";
import { type Fault, formatFaults, formatFound, formatPath } from "./faults.ts";

/** Result of parsing: the value, or all faults. */
export type ParseResult<Value> =
  | { type: "parsed"; value: Value }
  | { type: "faulty"; faults: Fault[] };

/** A fault without its position in the file. */
export type ValueFault = {
  path: PropertyKey[];
  found: string;
  wanted: string;
};

/** Options for parsing a document. */
export type DocumentOptions<Schema extends z.ZodType> = {
  file: string;
  schema: Schema;
  /** Finds faults in the raw value that the schema cannot express. */
  findFaults?: (value: unknown) => ValueFault[];
};

/** Nesting limit of documents, against stack overflow in the parser. */
const maxDepth = 64;

/** Parses JSON with comments against a schema and collects all faults. */
export function parseDocument<Schema extends z.ZodType>(
  text: string,
  options: DocumentOptions<Schema>,
): ParseResult<z.output<Schema>> {
  const errors: ParseError[] = [];
  if (isTooDeep(text)) {
    return createSyntaxFault(options.file, "nested too deeply");
  }
  const tree = parseTree(text, errors, { allowTrailingComma: true });
  if (tree === undefined) return createSyntaxFault(options.file, "empty");
  if (errors.length > 0) {
    return { type: "faulty", faults: formatSyntax(text, options.file, errors) };
  }
  const value: unknown = getNodeValue(tree);
  const result = options.schema.safeParse(value, { reportInput: true });
  const found = [
    ...(result.success ? [] : result.error.issues.flatMap(parseIssue)),
    ...findUnknownFields(options.schema, value),
    ...(options.findFaults?.(value) ?? []),
  ];
  if (result.success && found.length === 0) {
    return { type: "parsed", value: result.data };
  }
  return {
    type: "faulty",
    faults: getLocatedFaults(found, { text, file: options.file, tree }),
  };
}

/**
 * Parses a document.
 *
 * @throws AppError `invalidSettings` with all faults.
 */
export function requireDocument<Schema extends z.ZodType>(
  text: string,
  options: DocumentOptions<Schema>,
): z.output<Schema> {
  const result = parseDocument(text, options);
  if (result.type === "parsed") return result.value;
  throw AppError.create("invalidSettings", formatFaults(result.faults));
}

function isTooDeep(text: string): boolean {
  const scanner = createScanner(text, true);
  let depth = 0;
  scanner.scan();
  while (scanner.getTokenOffset() < text.length) {
    const character = text[scanner.getTokenOffset()];
    if (character === "{" || character === "[") depth += 1;
    if (character === "}" || character === "]") depth -= 1;
    if (depth > maxDepth) return true;
    scanner.scan();
  }
  return false;
}

function createSyntaxFault(
  file: string,
  found: string,
): { type: "faulty"; faults: Fault[] } {
  const wanted = "an object in JSON with comments";
  return {
    type: "faulty",
    faults: [{ file, line: 1, path: "", found, wanted }],
  };
}

function formatSyntax(
  text: string,
  file: string,
  errors: ParseError[],
): Fault[] {
  return errors.map((error) => ({
    file,
    line: getLine(text, error.offset),
    path: "",
    found: `malformed (${printParseErrorCode(error.error)})`,
    wanted: "JSON with comments",
  }));
}

function parseIssue(issue: z.core.$ZodIssue): ValueFault[] {
  const path = [...issue.path];
  if (issue.code === "unrecognized_keys") return [];
  return [{
    path,
    found: formatFound(issue.input, path),
    wanted: formatWanted(issue),
  }];
}

/** Formats the value that a schema issue expected. */
function formatWanted(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case "invalid_type":
      return `a value of type ${issue.expected}`;
    case "invalid_value":
      return issue.values.map((value) => JSON.stringify(value)).join(" or ");
    case "too_small":
      return `${issue.inclusive === false ? "more than" : "at least"} ` +
        `${issue.minimum}${getUnit(issue.origin)}`;
    case "too_big":
      return `${issue.inclusive === false ? "less than" : "at most"} ` +
        `${issue.maximum}${getUnit(issue.origin)}`;
    case "invalid_format":
      return issue.message.startsWith("Invalid string")
        ? `text that matches ${issue.pattern ?? issue.format}`
        : issue.message;
    default:
      return issue.message;
  }
}

function getUnit(origin: string): string {
  if (origin === "array") return " entries";
  return origin === "string" ? " characters" : "";
}

/** Finds fields that the schema does not define. */
function findUnknownFields(
  schema: z.core.$ZodType,
  value: unknown,
  path: PropertyKey[] = [],
): ValueFault[] {
  if (isWrapper(schema)) {
    return findUnknownFields(schema.unwrap(), value, path);
  }
  if (schema instanceof z.ZodArray && Array.isArray(value)) {
    return value.flatMap((entry, index) =>
      findUnknownFields(schema.element, entry, [...path, index])
    );
  }
  if (!(schema instanceof z.ZodObject) || !isObject(value)) return [];
  const shape: { [name: string]: z.core.$ZodType } = schema.shape;
  const isLoose = schema.def.catchall instanceof z.ZodUnknown;
  return Object.entries(value).flatMap(([name, field]) =>
    Object.hasOwn(shape, name)
      ? findUnknownFields(shape[name], field, [...path, name])
      : isLoose
      ? []
      : [{
        path: [...path, name],
        found: "an unknown field",
        wanted: `one of ${Object.keys(shape).join(", ")}`,
      }]
  );
}

type Wrapper = { unwrap(): z.core.$ZodType };

function isWrapper(
  schema: z.core.$ZodType,
): schema is z.core.$ZodType & Wrapper {
  return schema instanceof z.ZodOptional || schema instanceof z.ZodDefault ||
    schema instanceof z.ZodPrefault;
}

/** Reports whether a value is an object and not an array. */
export function isObject(value: unknown): value is { [name: string]: unknown } {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function getLocatedFaults(
  faults: ValueFault[],
  document: { text: string; file: string; tree: Node },
): Fault[] {
  const located = faults.map(({ path, found, wanted }) => ({
    file: document.file,
    line: getLine(document.text, findOffset(document.tree, path)),
    path: formatPath(path),
    found,
    wanted,
  }));
  return located.sort((left, right) => left.line - right.line);
}

/**
 * Creates a function that finds the line of the value at a path of a document,
 * or of the deepest existing value that contains it.
 */
export function createLineFinder(
  text: string,
): (path: PropertyKey[]) => number {
  const tree = parseTree(text, [], { allowTrailingComma: true });
  return (path) =>
    tree === undefined ? 1 : getLine(text, findOffset(tree, path));
}

/** Gets the offset of the deepest existing node on a path. */
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

function getLine(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}
