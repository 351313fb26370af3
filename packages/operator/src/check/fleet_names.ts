import { isObject, type ValueFault } from "@jasminetide/core/configuration";
import type { FleetRunners } from "@jasminetide/core/findings";

/** A parsed document that no schema has validated yet. */
export type RawDocument = { file: string; value: unknown };

/** Names defined by the documents of one fleet, to check references. */
export type FleetNames = {
  runners: Set<string>;
  hosts: Set<string>;
  failureDomains: Set<string>;
  /** Names of models and services; undefined without a declaration. */
  pools: Set<string> | undefined;
};

/** Collects the names that settings and a declaration define. */
export function listFleetNames(
  settings: readonly RawDocument[],
  declaration: RawDocument | undefined,
): FleetNames {
  return {
    runners: listFieldValues(settings, "runner"),
    hosts: listFieldValues(settings, "host"),
    failureDomains: listFieldValues(settings, "failureDomain"),
    pools: declaration === undefined ? undefined : listPools(declaration.value),
  };
}

/** Collects the runners of sidecars' settings; undefined if there are none. */
export function listRunners(
  settings: readonly RawDocument[],
): FleetRunners | undefined {
  const sidecars = settings.flatMap(({ value }) =>
    isObject(value) && "runner" in value ? [value] : []
  );
  if (sidecars.length === 0) return undefined;
  const [engines, services] = ["engine", "service"].map((kind) =>
    sidecars.filter((sidecar) => sidecar["kind"] === kind)
  );
  const served = services.flatMap(({ pools }): unknown[] =>
    Array.isArray(pools) ? pools : []
  );
  return {
    engineCount: engines.length,
    services: new Set(served.filter((pool) => typeof pool === "string")),
  };
}

function listFieldValues(
  documents: readonly RawDocument[],
  field: string,
): Set<string> {
  const values = documents.map(({ value }) =>
    isObject(value) ? value[field] : undefined
  );
  return new Set(values.filter((value) => typeof value === "string"));
}

function listPools(declaration: unknown): Set<string> {
  if (!isObject(declaration)) return new Set();
  const lists = [declaration["models"], declaration["services"]];
  const entries: unknown[] = lists.flatMap((list) =>
    Array.isArray(list) ? list : []
  );
  const names = entries.map((entry) =>
    isObject(entry) ? entry["name"] : undefined
  );
  return new Set(names.filter((name) => typeof name === "string"));
}

/** Finds pools of a sidecar that the declaration does not define. */
export function findUnknownPools(
  value: unknown,
  names: FleetNames,
): ValueFault[] {
  const { pools: known } = names;
  if (known === undefined || !isObject(value)) return [];
  const pools: unknown[] = Array.isArray(value["pools"]) ? value["pools"] : [];
  return pools.flatMap((pool, index) =>
    typeof pool !== "string" || known.has(pool) ? [] : [{
      path: ["pools", index],
      found: `the unknown model or service "${pool}"`,
      wanted: `one of ${[...known].join(", ")}`,
    }]
  );
}

/**
 * Finds exceptions that match a runner, host or failure domain which no
 * settings define.
 * A field is not checked if the settings define no value of it, as for a
 * declaration that is checked without settings.
 */
export function findUnknownMatches(
  value: unknown,
  names: FleetNames,
): ValueFault[] {
  if (!isObject(value) || !Array.isArray(value["exceptions"])) return [];
  const exceptions: unknown[] = value["exceptions"];
  const fields = {
    runner: names.runners,
    host: names.hosts,
    failureDomain: names.failureDomains,
  };
  return exceptions.flatMap((exception, index) =>
    Object.entries(fields).flatMap(([field, known]) => {
      const match = isObject(exception) ? exception["match"] : undefined;
      const name = isObject(match) ? match[field] : undefined;
      if (typeof name !== "string" || known.size === 0 || known.has(name)) {
        return [];
      }
      return [{
        path: ["exceptions", index, "match", field],
        found: `the unknown ${field} "${name}"`,
        wanted: `one of ${[...known].join(", ")}`,
      }];
    })
  );
}

/** Settings whose values are unique within a fleet. */
const uniqueFields = [
  "name",
  "runner",
  "callerAddress",
  "controlAddress",
  "dataAddress",
];

/** Finds names and addresses that an earlier document already uses. */
export function findDuplicateValues(
  value: unknown,
  seen: Map<string, string>,
  file: string,
): ValueFault[] {
  if (!isObject(value)) return [];
  return uniqueFields.flatMap((field) => {
    const used = value[field];
    if (typeof used !== "string") return [];
    const key = field.endsWith("Address") ? `address ${used}` : field + used;
    const owner = seen.get(key);
    seen.set(key, owner ?? file);
    return owner === undefined ? [] : [{
      path: [field],
      found: `"${used}", already used by ${owner}`,
      wanted: "a unique value",
    }];
  });
}
