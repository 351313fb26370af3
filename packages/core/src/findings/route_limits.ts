import type { RoutesDocument } from "../routes/mod.ts";
import { createFinding, type Finding } from "./finding.ts";

type Route = RoutesDocument["routes"][number];

/** Finds limits of a route that contradict each other. */
export function findRouteLimitFindings(route: Route, index: number): Finding[] {
  return [
    ...findGoalFindings(route, index),
    ...findRetryFindings(route, index),
  ];
}

function findGoalFindings(route: Route, index: number): Finding[] {
  const { goalMs, kind, name, pauseGoalMs, timeoutMs } = route;
  const path = ["routes", index, "pauseGoalMs"];
  const goal = goalMs <= timeoutMs ? [] : [createFinding("goalOverLimit", {
    path: ["routes", index, "goalMs"],
    text: `Route "${name}" ends requests after ${timeoutMs} ms, before its ` +
      `goal of ${goalMs} ms`,
  })];
  if (pauseGoalMs === undefined) return goal;
  if (kind !== "stream") {
    return [
      ...goal,
      createFinding("pauseGoalWithoutStream", {
        path,
        text: `Route "${name}" is no stream, so its goal for pauses has no ` +
          "effect",
      }),
    ];
  }
  if (pauseGoalMs <= timeoutMs) return goal;
  return [
    ...goal,
    createFinding("goalOverLimit", {
      path,
      text: `Route "${name}" ends streams after ${timeoutMs} ms, before a ` +
        `pause of ${pauseGoalMs} ms`,
    }),
  ];
}

function findRetryFindings(route: Route, index: number): Finding[] {
  const { isResumable, kind, maxAttempts, name } = route;
  if (maxAttempts < 1) {
    return [createFinding("noAttemptAllowed", {
      path: ["routes", index, "maxAttempts"],
      text: `Route "${name}" allows ${maxAttempts} attempts, but a request ` +
        "needs one",
    })];
  }
  if (!isResumable) return [];
  if (kind !== "stream") {
    return [createFinding("resumeOfNonStream", {
      path: ["routes", index, "isResumable"],
      text: `Route "${name}" is no stream; as resumable, its requests may ` +
        "be run more than once",
    })];
  }
  if (maxAttempts > 1) return [];
  return [createFinding("noRetryAllowed", {
    path: ["routes", index, "maxAttempts"],
    text: `Streams of route "${name}" may be resumed, but one attempt ` +
      "leaves no other runner to resume them",
  })];
}
