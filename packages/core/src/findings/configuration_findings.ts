import type { Configuration, Service } from "../configuration/mod.ts";
import { findExceptionFindings } from "./exception_findings.ts";
import { createFinding, type Finding } from "./finding.ts";
import { findSettingsFindings } from "./settings_findings.ts";

/**
 * Finds exceptions and routes that never take effect, and settings that
 * contradict each other, in a declaration without faults.
 */
export function findConfigurationFindings(
  configuration: Configuration,
): Finding[] {
  return [
    ...findUnusedDeadline(configuration),
    ...configuration.services.flatMap(findServiceFindings),
    ...findExceptionFindings(configuration),
    ...findSettingsFindings(configuration),
  ];
}

function findUnusedDeadline({ classes, defaults }: Configuration): Finding[] {
  if (classes.some(({ deadlineMs }) => deadlineMs === undefined)) return [];
  return [createFinding("classDeadlineAlways", {
    path: ["defaults", "request", "deadlineMs"],
    text:
      `The default deadline of ${defaults.request.deadlineMs} ms is never ` +
      "used, because each class has its own",
  })];
}

function findServiceFindings(service: Service, index: number): Finding[] {
  const { name, routes } = service;
  if (routes.length === 0) {
    return [createFinding("serviceWithoutRoute", {
      path: ["services", index],
      text: `Service "${name}" declares no route, so each call is handled by ` +
        "its method alone",
    })];
  }
  return routes.flatMap((route, place) => {
    const earlier = routes.slice(0, place).find((candidate) =>
      candidate.method === route.method &&
      isCovered(route.path, candidate.path)
    );
    return earlier === undefined ? [] : [createFinding("hiddenServiceRoute", {
      path: ["services", index, "routes", place],
      text: `${route.method} ${route.path} never matches: the earlier ` +
        `${earlier.path} matches the same paths`,
    })];
  });
}

/** Whether each path that matches a pattern also matches another one. */
function isCovered(pattern: string, other: string): boolean {
  const segments = pattern.split("/");
  const others = other.split("/");
  return segments.length === others.length &&
    others.every((segment, index) =>
      segment === "*" || segment === segments[index]
    );
}
