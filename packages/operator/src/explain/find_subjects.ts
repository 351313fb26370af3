import type { Configuration, Match } from "@jasminetide/core/configuration";
import { AppError } from "@jasminetide/core/results";
import type { HostRecord } from "@jasminetide/runtime/platform";

/** Kinds of subjects. */
export const subjectKinds = [
  "workspace",
  "runner",
  "service",
  "model",
  "host",
  "class",
] as const;

/** Kind of a subject. */
export type SubjectKind = (typeof subjectKinds)[number];

/** An object of the fleet to which settings apply. */
export type Subject = { kind: SubjectKind; name: string; match: Match };

/** Declaration and host list in which subjects are looked up. */
export type SubjectSource = {
  configuration: Configuration;
  hosts: readonly HostRecord[];
};

/**
 * Finds the subject with a name; `kind/name` selects one of several subjects
 * with the same name.
 *
 * @throws AppError `notFound`, or `invalidRequest` if the name is ambiguous.
 */
export function findSubject(text: string, source: SubjectSource): Subject {
  const slash = text.indexOf("/");
  const kind = subjectKinds.find((known) => known === text.slice(0, slash));
  const name = kind === undefined ? text : text.slice(slash + 1);
  const found = listSubjects(source).filter((subject) =>
    subject.name === name && (kind === undefined || subject.kind === kind)
  );
  if (found.length === 1) return found[0];
  if (found.length === 0) {
    throw AppError.create(
      "notFound",
      `No workspace, runner, service, model, host or class "${text}"`,
    );
  }
  const choices = found.map((subject) => `${subject.kind}/${subject.name}`);
  throw AppError.create(
    "invalidRequest",
    `"${text}" is ambiguous, expected one of ${choices.join(", ")}`,
  );
}

/** Lists every subject of a declaration and the host list. */
export function listSubjects(source: SubjectSource): Subject[] {
  const { configuration, hosts } = source;
  return [
    ...configuration.workspaces.map(({ id }) => createSubject("workspace", id)),
    ...hosts.flatMap(listRunnerSubjects),
    ...configuration.services.map(({ name }) => createSubject("service", name)),
    ...configuration.models.map(({ name }) => createSubject("model", name)),
    ...hosts.map(({ id, failureDomain }) => ({
      ...createSubject("host", id),
      match: { host: id, failureDomain },
    })),
    ...configuration.classes.map(({ name }) => createSubject("class", name)),
  ];
}

function createSubject(kind: SubjectKind, name: string): Subject {
  return { kind, name, match: { [kind]: name } };
}

function listRunnerSubjects(host: HostRecord): Subject[] {
  return host.processes.flatMap((process) => {
    if (process.type !== "sidecar") return [];
    const poolKind = process.kind === "service" ? "service" : "model";
    const [pool, ...others] = process.pools;
    return [{
      kind: "runner" as const,
      name: process.runner,
      match: {
        runner: process.runner,
        host: host.id,
        failureDomain: host.failureDomain,
        ...(others.length === 0 ? { [poolKind]: pool } : {}),
      },
    }];
  });
}
