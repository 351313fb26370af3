/** Faults of a declaration that schemas of single fields cannot express. */
import { isObject, type ValueFault } from "./documents.ts";

/** Kinds of objects that exceptions and defaults reference by name. */
type NamedKind = "class" | "workspace" | "model" | "service";

/** Names that a declaration defines. */
type DeclaredNames = { [Kind in NamedKind]: Set<string> };

/** A value with its path in the document. */
type Entry = { value: unknown; path: PropertyKey[] };

const namedKinds: NamedKind[] = ["class", "workspace", "model", "service"];

/**
 * Finds duplicate names and key hashes, references to undeclared names, and
 * exceptions that set nothing. Works on the raw value, so that one report
 * includes these faults and those of the schema.
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
    ...findDuplicates(classes),
    ...findDuplicates(workspaces),
    ...findDuplicates([...models, ...services]),
    ...findDuplicateHashes(root),
    ...findUndeclared("class", {
      entry: getEntryAt(root, ["defaults", "request", "class"]),
      names,
    }),
    ...listEntries(getEntryAt(root, ["exceptions"])).flatMap((entry) =>
      findExceptionFaults(entry, names)
    ),
  ];
}

function getEntryAt(entry: Entry, path: PropertyKey[]): Entry {
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
  return listEntries(getEntryAt(root, [fields.list])).map((entry) =>
    getEntryAt(entry, [fields.name])
  );
}

function createNameSet(entries: Entry[]): Set<string> {
  return new Set(
    entries.map((entry) => entry.value).filter((value) =>
      typeof value === "string"
    ),
  );
}

function findDuplicateHashes(root: Entry): ValueFault[] {
  const hashes = listEntries(getEntryAt(root, ["workspaces"])).flatMap((
    entry,
  ) => listEntries(getEntryAt(entry, ["keyHashes"])));
  return findDuplicates(hashes).map((fault) => ({
    ...fault,
    found: "a duplicate of a key hash listed before",
    wanted: "each key hash once",
  }));
}

function findDuplicates(entries: Entry[]): ValueFault[] {
  const seen = new Set<unknown>();
  return entries.flatMap(({ value, path }) => {
    if (typeof value !== "string") return [];
    if (!seen.has(value)) {
      seen.add(value);
      return [];
    }
    return [{
      path,
      found: `a duplicate of "${value}"`,
      wanted: "a unique name",
    }];
  });
}

function findExceptionFaults(
  exception: Entry,
  names: DeclaredNames,
): ValueFault[] {
  const references = namedKinds.flatMap((kind) =>
    findUndeclared(kind, {
      entry: getEntryAt(exception, ["match", kind]),
      names,
    })
  );
  const classEntry = getEntryAt(exception, ["set", "request", "class"]);
  return [
    ...references,
    ...findUndeclared("class", { entry: classEntry, names }),
    ...findEmptySet(getEntryAt(exception, ["set"])),
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
