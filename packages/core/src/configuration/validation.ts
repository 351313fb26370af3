/** Faults of a declaration that no schema of a single field can express. */
import { isObject, type ValueFault } from "./documents.ts";

/** What exceptions and defaults refer to by name. */
type NamedKind = "class" | "workspace" | "model" | "service";

/** The names that a declaration defines. */
type DeclaredNames = { [Kind in NamedKind]: Set<string> };

/** A value with its place in the document. */
type Entry = { value: unknown; path: PropertyKey[] };

const namedKinds: NamedKind[] = ["class", "workspace", "model", "service"];

/**
 * Finds repeated names and key hashes, references to what is not declared,
 * and exceptions that set nothing. It works on the value as read, so that one
 * report can name these faults and those of the schema.
 */
export function findConfigurationFaults(value: unknown): ValueFault[] {
  const root: Entry = { value, path: [] };
  const classes = listNames(root, { list: "classes", name: "name" });
  const workspaces = listNames(root, { list: "workspaces", name: "id" });
  const models = listNames(root, { list: "models", name: "name" });
  const services = listNames(root, { list: "services", name: "name" });
  const names: DeclaredNames = {
    class: createNameSet(classes),
    workspace: createNameSet(workspaces),
    model: createNameSet(models),
    service: createNameSet(services),
  };
  return [
    ...findRepeated(classes),
    ...findRepeated(workspaces),
    ...findRepeated([...models, ...services]),
    ...findRepeatedHashes(root),
    ...findUndeclared("class", {
      entry: getAt(root, ["defaults", "request", "class"]),
      names,
    }),
    ...listEntries(getAt(root, ["exceptions"])).flatMap((entry) =>
      findExceptionFaults(entry, names)
    ),
  ];
}

function getAt(entry: Entry, path: PropertyKey[]): Entry {
  const value = path.reduce<unknown>(
    (parent, segment) => isObject(parent) ? parent[String(segment)] : undefined,
    entry.value,
  );
  return { value, path: [...entry.path, ...path] };
}

function listEntries(entry: Entry): Entry[] {
  if (!Array.isArray(entry.value)) return [];
  return entry.value.map((value: unknown, index) => ({
    value,
    path: [...entry.path, index],
  }));
}

function listNames(
  root: Entry,
  fields: { list: string; name: string },
): Entry[] {
  return listEntries(getAt(root, [fields.list])).map((entry) =>
    getAt(entry, [fields.name])
  );
}

function createNameSet(entries: Entry[]): Set<string> {
  return new Set(
    entries.map((entry) => entry.value).filter((value) =>
      typeof value === "string"
    ),
  );
}

function findRepeatedHashes(root: Entry): ValueFault[] {
  const hashes = listEntries(getAt(root, ["workspaces"])).flatMap((entry) =>
    listEntries(getAt(entry, ["keyHashes"]))
  );
  return findRepeated(hashes).map((fault) => ({
    ...fault,
    found: "the hash of a key that is listed before",
    wanted: "each key once",
  }));
}

function findRepeated(entries: Entry[]): ValueFault[] {
  const seen = new Set<unknown>();
  return entries.flatMap(({ value, path }) => {
    if (typeof value !== "string") return [];
    if (!seen.has(value)) {
      seen.add(value);
      return [];
    }
    return [{
      path,
      found: `a repetition of "${value}"`,
      wanted: "a name that is used once",
    }];
  });
}

function findExceptionFaults(
  exception: Entry,
  names: DeclaredNames,
): ValueFault[] {
  const references = namedKinds.flatMap((kind) =>
    findUndeclared(kind, { entry: getAt(exception, ["match", kind]), names })
  );
  const classEntry = getAt(exception, ["set", "request", "class"]);
  return [
    ...references,
    ...findUndeclared("class", { entry: classEntry, names }),
    ...findEmptySet(getAt(exception, ["set"])),
  ];
}

function findEmptySet({ value, path }: Entry): ValueFault[] {
  if (!isObject(value)) return [];
  const isEmpty = Object.values(value).every((section) =>
    isObject(section) && Object.keys(section).length === 0
  );
  return isEmpty ? [{ path, found: "empty", wanted: "a value to set" }] : [];
}

function findUndeclared(
  kind: NamedKind,
  options: { entry: Entry; names: DeclaredNames },
): ValueFault[] {
  const { entry: { value, path }, names } = options;
  if (typeof value !== "string" || names[kind].has(value)) return [];
  const known = [...names[kind]].join(", ");
  return [{
    path,
    found: `the unknown ${kind} "${value}"`,
    wanted: known === "" ? `a declared ${kind}` : `one of ${known}`,
  }];
}
