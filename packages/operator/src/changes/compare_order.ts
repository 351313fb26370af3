import {
  type Configuration,
  type Exception,
  formatCanonical,
} from "@jasminetide/core/configuration";
import { canMatchTogether } from "@jasminetide/core/findings";
import { createKeyedTree, formatMatch, type LocatedChange } from "./compare.ts";

type KeyedExceptions = { [key: string]: Exception };

/**
 * Finds exceptions that have moved behind another one which sets the same value
 * for some of the same subjects, so that they override it now.
 */
export function compareExceptionOrder(
  before: Configuration,
  after: Configuration,
): LocatedChange[] {
  const previous = Object.keys(createKeyedExceptions(before));
  const places = new Map(previous.map((key, place) => [key, place]));
  const current = Object.entries(createKeyedExceptions(after))
    .flatMap(([key, exception]) => {
      const place = places.get(key);
      return place === undefined ? [] : [{ key, exception, place }];
    });
  return current.flatMap(({ exception, key, place }, index) =>
    current.slice(0, index)
      .filter((other) =>
        other.place > place && isOverriding(exception, other.exception)
      )
      .map((other) => ({
        keys: ["exceptions", key],
        change: {
          type: "changed" as const,
          path: `exceptions[${key}]`,
          before: `before exceptions[${other.key}]`,
          after: `after exceptions[${other.key}]`,
          reason: exception.reason,
        },
      }))
  );
}

function createKeyedExceptions({ exceptions }: Configuration): KeyedExceptions {
  return createKeyedTree(exceptions, formatMatch) as KeyedExceptions;
}

/** Whether an exception sets something else where another one applies too. */
function isOverriding(exception: Exception, other: Exception): boolean {
  if (!canMatchTogether(exception.match, other.match)) return false;
  const otherValues = new Map(listValues(other));
  return listValues(exception).some(([path, value]) => {
    const otherValue = otherValues.get(path);
    return otherValue !== undefined && otherValue !== value;
  });
}

/** Lists what an exception sets by path, in canonical form. */
function listValues({ set }: Exception): [string, string][] {
  return Object.entries(set).flatMap(([section, fields]) =>
    Object.entries(fields ?? {}).map(([name, value]): [string, string] => [
      `${section}.${name}`,
      formatCanonical(value),
    ])
  );
}
