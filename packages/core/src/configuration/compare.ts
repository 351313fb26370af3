import { isJsonObject, type Json, type JsonObject } from "./json.ts";
import { formatCanonical } from "./parse.ts";

/** Side that changed a value since the base. */
export type ChangedBy = "mine" | "theirs" | "both" | "conflict";

/** A value that differs from the base on at least one side. */
export type Difference = {
  /** Dotted path, with the keys of list entries in brackets. */
  path: string;
  changedBy: ChangedBy;
  /** Each side is absent if it has no such value. */
  base?: Json;
  mine?: Json;
  theirs?: Json;
};

/** Result of a three-way comparison. */
export type Comparison = {
  differences: Difference[];
  /** The base with the changes of both sides; undefined on a conflict. */
  merged: JsonObject | undefined;
};

type Sides = {
  base: Json | undefined;
  mine: Json | undefined;
  theirs: Json | undefined;
};

/**
 * Merges two declarations with the base that both were edited from (three-way
 * merge). List entries are identified by `id` or `name`, exceptions by their
 * `match`.
 */
export function compareConfigurations(
  base: JsonObject,
  sides: { mine: JsonObject; theirs: JsonObject },
): Comparison {
  const differences: Difference[] = [];
  const merged = mergeValue("", { base, ...sides }, differences);
  const hasConflict = differences.some(({ changedBy }) =>
    changedBy === "conflict"
  );
  return {
    differences,
    merged: hasConflict ? undefined : merged as JsonObject,
  };
}

function mergeValue(
  path: string,
  sides: Sides,
  differences: Difference[],
): Json | undefined {
  const { base, mine, theirs } = sides;
  if (isEqual(base, mine) && isEqual(base, theirs)) return base;
  const fields = [base, mine, theirs].map(getFields);
  if (fields.every((entry) => entry !== undefined)) {
    return mergeFields(path, sides, differences);
  }
  const changedBy = getChangedBy(sides);
  differences.push(createDifference(path, changedBy, sides));
  return changedBy === "theirs" ? theirs : mine;
}

function mergeFields(
  path: string,
  sides: Sides,
  differences: Difference[],
): Json {
  const [base, mine, theirs] = [sides.base, sides.mine, sides.theirs].map(
    (side) => getFields(side) ?? new Map<string, Json>(),
  );
  const isList = Array.isArray(sides.base);
  const merged = new Map<string, Json>();
  for (
    const key of new Set([...theirs.keys(), ...mine.keys(), ...base.keys()])
  ) {
    const value = mergeValue(formatPath(path, key, isList), {
      base: base.get(key),
      mine: mine.get(key),
      theirs: theirs.get(key),
    }, differences);
    if (value !== undefined) merged.set(key, value);
  }
  return isList ? [...merged.values()] : Object.fromEntries(merged);
}

function getChangedBy({ base, mine, theirs }: Sides): ChangedBy {
  if (isEqual(mine, theirs)) return "both";
  if (isEqual(base, mine)) return "theirs";
  return isEqual(base, theirs) ? "mine" : "conflict";
}

function createDifference(
  path: string,
  changedBy: ChangedBy,
  { base, mine, theirs }: Sides,
): Difference {
  return {
    path,
    changedBy,
    ...(base === undefined ? {} : { base }),
    ...(mine === undefined ? {} : { mine }),
    ...(theirs === undefined ? {} : { theirs }),
  };
}

/**
 * Gets the fields of an object by name, or the entries of a list by key.
 * Returns undefined for other values, and for lists without unique keys.
 */
function getFields(value: Json | undefined): Map<string, Json> | undefined {
  if (isJsonObject(value)) return new Map(Object.entries(value));
  if (!Array.isArray(value)) return undefined;
  const fields = new Map<string, Json>();
  for (const entry of value) {
    const key = getKey(entry);
    if (key === undefined || fields.has(key)) return undefined;
    fields.set(key, entry);
  }
  return fields;
}

function getKey(entry: Json): string | undefined {
  if (!isJsonObject(entry)) return undefined;
  const { id, match, name } = entry;
  if (typeof id === "string") return id;
  if (typeof name === "string") return name;
  return isJsonObject(match) ? formatCanonical(match) : undefined;
}

function formatPath(path: string, key: string, isList: boolean): string {
  if (isList) return `${path}[${key}]`;
  return path === "" ? key : `${path}.${key}`;
}

function isEqual(left: Json | undefined, right: Json | undefined): boolean {
  if (left === undefined || right === undefined) return left === right;
  return formatCanonical(left) === formatCanonical(right);
}
