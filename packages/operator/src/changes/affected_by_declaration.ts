/** How many entries a change of a declaration affects. */
import type {
  Configuration,
  Exception,
  Match,
} from "@jasminetide/core/configuration";
import { type Affected, nobody, type Versions } from "./affected.ts";
import { createKeyedTree, formatMatch } from "./compare.ts";

/**
 * Creates a function that counts who is affected by changes of a declaration.
 * Exceptions for some runners affect no entry as a whole.
 */
export function createDeclarationCounter(
  versions: Versions<Configuration>,
): (keys: readonly string[]) => Affected {
  const { after, before } = versions;
  const countClass = createClassCounter(versions);
  const exceptions = {
    ...createKeyedTree(before.exceptions, formatMatch),
    ...createKeyedTree(after.exceptions, formatMatch),
  } as { [key: string]: Exception };
  return ([list, name, ...path]) => {
    switch (list) {
      case "defaults":
        return countDefault([name, ...path], versions);
      case "classes":
        return countClass(name);
      case "workspaces":
        return { ...nobody, workspaces: 1 };
      case "exceptions":
        return countMatch(exceptions[name], countClass);
      default:
        return { ...nobody, services: 1 };
    }
  };
}

/** Counts the workspaces whose own exceptions give them a class. */
function createClassCounter(
  { after, before }: Versions<Configuration>,
): (name: string | undefined) => Affected {
  const classes = [before, after].flatMap(listClasses);
  return (wanted) => {
    const ids = classes.filter(([, name]) => name === wanted)
      .map(([id]) => id);
    return { ...nobody, workspaces: new Set(ids).size };
  };
}

function listClasses(configuration: Configuration): [string, string][] {
  const own = new Map<string, string>();
  for (const { match, set } of configuration.exceptions) {
    const name = set.request?.class;
    const id = getOnlyField(match, "workspace");
    if (id !== undefined && name !== undefined) own.set(id, name);
  }
  const { defaults, workspaces } = configuration;
  return workspaces.map((
    { id },
  ) => [id, own.get(id) ?? defaults.request.class]);
}

function countMatch(
  exception: Exception,
  countClass: (name: string) => Affected,
): Affected {
  const { match } = exception;
  if (match.workspace !== undefined) return { ...nobody, workspaces: 1 };
  if (match.class !== undefined) return countClass(match.class);
  const isForSomeRunners = match.runner !== undefined ||
    match.host !== undefined || match.failureDomain !== undefined;
  return isForSomeRunners ? nobody : { ...nobody, services: 1 };
}

/** Counts those that no exception of their own keeps from a default. */
function countDefault(
  [section, name]: readonly string[],
  versions: Versions<Configuration>,
): Affected {
  const listKept = (fields: readonly (keyof Match)[]) => {
    const [before, after] = [versions.before, versions.after].map((version) =>
      listOwners(version, { section, name, fields })
    );
    return new Set([...before].filter((owner) => after.has(owner)));
  };
  const keptWorkspaces = listKept(["workspace"]);
  const keptPools = listKept(["service", "model"]);
  const { pools, workspaces } = listEntries(versions);
  return {
    ...nobody,
    workspaces: workspaces.filter((id) => !keptWorkspaces.has(id)).length,
    services: pools.filter((pool) => !keptPools.has(pool)).length,
  };
}

/** Lists those for which an exception of their own sets a value. */
function listOwners(
  { exceptions }: Configuration,
  options: { section: string; name: string; fields: readonly (keyof Match)[] },
): Set<string> {
  const { fields, name, section } = options;
  const owners = exceptions.flatMap(({ match, set }) => {
    const values = Object.entries(set).find(([key]) => key === section)?.[1];
    if (!Object.hasOwn(values ?? {}, name)) return [];
    return fields.map((field) => getOnlyField(match, field));
  });
  return new Set(owners.filter((owner) => owner !== undefined));
}

function listEntries(
  { after, before }: Versions<Configuration>,
): { workspaces: string[]; pools: string[] } {
  const versions = [before, after];
  const pools = versions.flatMap(({ models, services }) =>
    [...models, ...services].map(({ name }) => name)
  );
  const workspaces = versions.flatMap((version) =>
    version.workspaces.map(({ id }) => id)
  );
  return { workspaces: [...new Set(workspaces)], pools: [...new Set(pools)] };
}

/** Gets a field of a match that has no other one. */
function getOnlyField(
  match: Match,
  field: keyof Match,
): string | undefined {
  const isOnly = Object.entries(match).every(([key, value]) =>
    key === field || value === undefined
  );
  return isOnly ? match[field] : undefined;
}
