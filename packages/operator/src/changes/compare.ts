import {
  type Configuration,
  type Exception,
  formatCanonical,
  isObject,
} from "@jasminetide/core/configuration";

/** One difference between two declarations. */
export type Change = {
  type: "added" | "removed" | "changed";
  /** Path with names in place of indices, such as `workspaces[w1].id`. */
  path: string;
  before?: unknown;
  after?: unknown;
  /** Reason of the exception to which the change belongs. */
  reason?: string;
};

/** A change, with its path as keys: the list or section, then the entry. */
export type LocatedChange = { change: Change; keys: readonly string[] };

/** A document with its lists as objects, keyed by the entries' names. */
export type Tree = { [name: string]: unknown };

/** Compares two declarations; list entries are matched by name, not index. */
export function compareDeclarations(
  before: Configuration | undefined,
  after: Configuration,
): Change[] {
  const left = before === undefined ? {} : createConfigurationTree(before);
  return compareTrees(left, createConfigurationTree(after)).map(({ change }) =>
    change
  );
}

/** Compares two trees field by field. */
export function compareTrees(before: Tree, after: Tree): LocatedChange[] {
  return compareValues(before, after, { keys: [] });
}

/** Converts a declaration's lists to objects keyed by the entries' names. */
export function createConfigurationTree(configuration: Configuration): Tree {
  return {
    defaults: configuration.defaults,
    classes: createKeyedTree(configuration.classes, (entry) => entry.name),
    workspaces: createKeyedTree(configuration.workspaces, (entry) => entry.id),
    models: createKeyedTree(configuration.models, (entry) => entry.name),
    services: createKeyedTree(configuration.services, (entry) => entry.name),
    exceptions: createKeyedTree(configuration.exceptions, formatMatch),
  };
}

/** Formats what an exception matches, such as `workspace=w1,model=m`. */
export function formatMatch(exception: Exception): string {
  return Object.entries(exception.match)
    .filter(([, value]) => value !== undefined)
    .sort(([left], [right]) => left < right ? -1 : 1)
    .map(([field, value]) => `${field}=${value}`)
    .join(",");
}

/** Converts a list to an object; equal keys get a number. */
export function createKeyedTree<Entry>(
  entries: readonly Entry[],
  getKey: (entry: Entry) => string,
): Tree {
  const tree: Tree = {};
  for (const entry of entries) {
    const key = getKey(entry);
    let unique = key;
    for (let count = 2; unique in tree; count += 1) unique = `${key}#${count}`;
    tree[unique] = entry;
  }
  return tree;
}

type CompareScope = { keys: readonly string[]; reason?: string };

function compareValues(
  before: unknown,
  after: unknown,
  scope: CompareScope,
): LocatedChange[] {
  if (formatCanonical(before ?? null) === formatCanonical(after ?? null)) {
    return [];
  }
  const reason = getReason(after) ?? getReason(before) ?? scope.reason;
  const { keys } = scope;
  if (isObject(before) && isObject(after)) {
    return listNames(before, after).flatMap((name) =>
      compareValues(before[name], after[name], {
        keys: [...keys, name],
        ...(reason === undefined ? {} : { reason }),
      })
    );
  }
  const change = {
    type: getType(before, after),
    path: formatKeys(keys),
    ...(before === undefined ? {} : { before }),
    ...(after === undefined ? {} : { after }),
    ...(reason === undefined ? {} : { reason }),
  };
  return [{ change, keys }];
}

function getType(before: unknown, after: unknown): Change["type"] {
  if (before === undefined) return "added";
  return after === undefined ? "removed" : "changed";
}

function getReason(value: unknown): string | undefined {
  return isObject(value) && typeof value["reason"] === "string"
    ? value["reason"]
    : undefined;
}

function listNames(before: Tree, after: Tree): string[] {
  return [...new Set([...Object.keys(before), ...Object.keys(after)])];
}

const listFields = new Set([
  "classes",
  "workspaces",
  "models",
  "routes",
  "services",
  "exceptions",
]);

function formatKeys(keys: readonly string[]): string {
  const [first, ...others] = keys;
  return others.reduce(
    (path, key, index) =>
      index === 0 && listFields.has(first)
        ? `${path}[${key}]`
        : `${path}.${key}`,
    first ?? "",
  );
}
