import {
  type Configuration,
  type Exception,
  formatCanonical,
  type Match,
} from "../configuration/mod.ts";
import { createFinding, type Finding } from "./finding.ts";

/** One value that an exception sets. */
type SetValue = {
  /** Index of the exception. */
  index: number;
  match: Match;
  section: string;
  name: string;
  value: unknown;
};

/**
 * Finds exceptions that never match, and values of exceptions that never take
 * effect or change nothing.
 */
export function findExceptionFindings(configuration: Configuration): Finding[] {
  const { exceptions } = configuration;
  const valuesByPath = new Map<string, SetValue[]>();
  for (const value of exceptions.flatMap(listSetValues)) {
    const path = formatSettingsPath(value);
    valuesByPath.set(path, [...valuesByPath.get(path) ?? [], value]);
  }
  return exceptions.flatMap((exception, index) => {
    if (!isPossible(exception.match)) return [createNeverMatches(index)];
    return listSetValues(exception, index).flatMap((value) =>
      findValueFindings(value, {
        configuration,
        others: valuesByPath.get(formatSettingsPath(value)) ?? [],
      })
    );
  });
}

function listSetValues(exception: Exception, index: number): SetValue[] {
  return Object.entries(exception.set).flatMap(([section, fields]) =>
    Object.entries(fields ?? {}).map(([name, value]) => ({
      index,
      match: exception.match,
      section,
      name,
      value,
    }))
  );
}

function formatSettingsPath({ name, section }: SetValue): string {
  return `${section}.${name}`;
}

function getPath({ index, name, section }: SetValue): PropertyKey[] {
  return ["exceptions", index, "set", section, name];
}

/** Fields that are known of one request or runner at the same time. */
const subjectFields: readonly (readonly (keyof Match)[])[] = [
  ["workspace", "service", "class"],
  ["runner", "host", "failureDomain", "model"],
  ["runner", "host", "failureDomain", "service"],
];

/** Settings that are looked up with few fields. */
const narrowSubjects: { [path: string]: readonly (keyof Match)[] } = {
  "request.class": ["workspace", "service"],
  "workspace.requestsPerSecond": ["workspace", "class"],
  "workspace.tokensPerSecond": ["workspace", "class"],
};

function listFields(match: Match): (keyof Match)[] {
  const fields = Object.keys(match) as (keyof Match)[];
  return fields.filter((field) => match[field] !== undefined);
}

function isPossible(match: Match): boolean {
  const fields = listFields(match);
  return subjectFields.some((subject) =>
    fields.every((field) => subject.includes(field))
  );
}

function createNeverMatches(index: number): Finding {
  return createFinding("exceptionNeverMatches", {
    path: ["exceptions", index, "match"],
    text: "Settings are looked up by workspace, service and class or by " +
      "runner, host, failureDomain and its model or service, so no subject " +
      "has all of these fields",
  });
}

function findValueFindings(
  value: SetValue,
  context: { configuration: Configuration; others: readonly SetValue[] },
): Finding[] {
  const { configuration, others } = context;
  const known = narrowSubjects[formatSettingsPath(value)];
  const extra = listFields(value.match).find((field) =>
    known !== undefined && !known.includes(field)
  );
  if (extra !== undefined) {
    return [createFinding("exceptionNeverMatches", {
      path: getPath(value),
      text: `${formatSettingsPath(value)} is looked up by ` +
        `${known.join(" and ")} alone, so it never applies to one ${extra}`,
    })];
  }
  const later = others.find((other) =>
    other.index > value.index && isWithin(value.match, other.match)
  );
  if (later !== undefined) {
    return [createFinding("exceptionOverridden", {
      path: getPath(value),
      text: `exceptions[${later.index}] matches the same and sets it to ` +
        `${JSON.stringify(later.value)}`,
    })];
  }
  if (!isDefault(value, configuration) || others.some(canPrecede(value))) {
    return [];
  }
  return [createFinding("exceptionEqualsDefault", {
    path: getPath(value),
    text: `The default is ${JSON.stringify(value.value)} too`,
  })];
}

/** Whether all subjects of one match are subjects of another one. */
function isWithin(match: Match, other: Match): boolean {
  return listFields(other).every((field) => other[field] === match[field]);
}

/** Whether another value may apply to the same subject before a value. */
function canPrecede(value: SetValue): (other: SetValue) => boolean {
  return (other) =>
    other.index < value.index && canMatchTogether(value.match, other.match);
}

/** Whether a request or a runner may have all fields of two matches. */
export function canMatchTogether(match: Match, other: Match): boolean {
  return isPossible({ ...other, ...match }) &&
    listFields(other).every((field) =>
      match[field] === undefined || match[field] === other[field]
    );
}

/** Whether a value is what would be in effect without any exception. */
function isDefault(value: SetValue, configuration: Configuration): boolean {
  const { classes, defaults } = configuration;
  const canClassOverride = formatSettingsPath(value) === "request.deadlineMs" &&
    classes.some(({ deadlineMs }) => deadlineMs !== undefined);
  const sections: { [section: string]: { [name: string]: unknown } } = defaults;
  const defaultValue = sections[value.section]?.[value.name];
  return !canClassOverride &&
    formatCanonical(defaultValue) === formatCanonical(value.value);
}
