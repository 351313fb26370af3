/** Faults in documents that operators write, and their formatting. */

/** One fault in a JSONC document. */
export type Fault = {
  file: string;
  /** Line number, from 1. */
  line: number;
  /** Dotted path with indices, such as `exceptions[3].reason`. */
  path: string;
  /** Description of the value found; never contains a key. */
  found: string;
  /** Description of the expected value. */
  wanted: string;
};

/** Formats faults, one per line. */
export function formatFaults(faults: readonly Fault[]): string {
  return faults.map((fault) =>
    `Cannot parse "${fault.file}" line ${fault.line}: ` +
    `${fault.path === "" ? "document" : fault.path} is ${fault.found}, ` +
    `expected ${fault.wanted}`
  ).join("\n");
}

/** Formats a path of property names and indices. */
export function formatPath(path: readonly PropertyKey[]): string {
  return path.map((segment, index) => {
    if (typeof segment === "number") return `[${segment}]`;
    return index === 0 ? String(segment) : `.${String(segment)}`;
  }).join("");
}

/** Length in characters beyond which a value is truncated in a report. */
const maxFoundLength = 60;

/** Names of fields whose values may be secret. */
const secretField = /key|secret|token$|password/i;

/**
 * Formats the value at a path for a report. Values of fields that may contain a
 * secret, such as a key pasted in place of its hash, are described by type and
 * length only.
 */
export function formatFound(
  value: unknown,
  path: readonly PropertyKey[],
): string {
  if (value === undefined) return "absent";
  if (value === "") return "empty";
  if (isSecretPath(path)) return describeShape(value);
  const text = JSON.stringify(value) ?? typeof value;
  return text.length > maxFoundLength
    ? `${text.slice(0, maxFoundLength)}...`
    : text;
}

function isSecretPath(path: readonly PropertyKey[]): boolean {
  return path.some((segment) =>
    typeof segment === "string" && secretField.test(segment)
  );
}

function describeShape(value: unknown): string {
  if (typeof value === "string") return `text of ${value.length} characters`;
  if (Array.isArray(value)) return `a list of ${value.length}`;
  return `of type ${typeof value}`;
}
