import {
  type Configuration,
  type Exception,
  type Match,
  type Origin,
  resolveSettings,
} from "@jasminetide/core/configuration";
import type { Subject } from "./find_subjects.ts";

/** One effective value and its origin. */
export type ExplainedValue = {
  path: string;
  value: unknown;
  origin: Origin;
  /** Value from the defaults, if an exception overrides it. */
  defaultValue?: unknown;
};

/** Effective values of one subject. */
export type Explanation = {
  subject: Subject;
  /** Version of the declaration; undefined if it was read from a file. */
  version: number | undefined;
  values: ExplainedValue[];
  /** Exceptions that match the subject only with further conditions. */
  narrower: {
    index: number;
    match: Match;
    set: Exception["set"];
    reason: string;
  }[];
};

/** Explains every effective value of a subject. */
export function explainSubject(
  subject: Subject,
  options: { configuration: Configuration; version: number | undefined },
): Explanation {
  const { configuration, version } = options;
  const { settings, origins } = resolveSettings(configuration, subject.match);
  const defaults = listValues(configuration.defaults);
  const values = [...listValues(settings)].map(([path, value]) => {
    const origin = origins.get(path) ?? { type: "default" as const };
    return {
      path,
      value,
      origin,
      ...(origin.type === "exception"
        ? { defaultValue: defaults.get(path) }
        : {}),
    };
  });
  return {
    subject,
    version,
    values,
    narrower: listNarrower(configuration, subject),
  };
}

function listValues(settings: Configuration["defaults"]): Map<string, unknown> {
  return new Map(
    Object.entries(settings).flatMap(([section, fields]) =>
      Object.entries(fields).map(([name, value]): [string, unknown] => [
        `${section}.${name}`,
        value,
      ])
    ),
  );
}

function listNarrower(configuration: Configuration, subject: Subject) {
  const entries = configuration.exceptions.map((exception, index) => ({
    index,
    ...exception,
  }));
  return entries.filter(({ match }) => isNarrower(match, subject));
}

/** Whether a match names the subject and has further conditions. */
function isNarrower(match: Match, subject: Subject): boolean {
  const known = new Map(Object.entries(subject.match));
  const fields = Object.entries(match).filter(([, value]) =>
    value !== undefined
  );
  const contradicts = fields.some(([field, value]) =>
    known.has(field) && known.get(field) !== value
  );
  const isNamed = match[subject.kind] === subject.name;
  const hasMoreFields = fields.some(([field]) => !known.has(field));
  return isNamed && hasMoreFields && !contradicts;
}
