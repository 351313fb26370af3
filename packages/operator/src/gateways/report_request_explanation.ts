import type {
  RequestExplanation,
  RunnerExplanation,
} from "@jasminetide/gateway/requests";
import { exitCodes } from "@jasminetide/runtime/process";
import { type CommandResult, formatTable, type Style } from "../output/mod.ts";

/** Reports how a gateway would handle a request; fails if it would refuse. */
export function reportRequestExplanation(
  explanation: RequestExplanation,
): CommandResult {
  const isServable = findRefusal(explanation) === undefined;
  return {
    exitCode: isServable ? exitCodes.ok : exitCodes.failed,
    document: explanation,
    formatText: (style) => formatExplanation(explanation, style),
  };
}

function formatExplanation(
  explanation: RequestExplanation,
  style: Style,
): string {
  const { priority, route, version, workspace } = explanation;
  const refusal = findRefusal(explanation);
  const verdict = refusal === undefined
    ? style.green("The request is served.")
    : style.red(`The request is refused: ${refusal}.`);
  if (route === undefined) return `By version ${version}:\n${verdict}`;
  const evacuated = new Set(
    explanation.services.flatMap(({ evacuatedDomains }) => evacuatedDomains),
  );
  const rows = explanation.services.flatMap(({ runners, service }) =>
    runners.map((runner) => formatRunner(service, runner))
  );
  return [
    `By version ${version}, route ${style.bold(route.name)}: ${route.kind}, ` +
    `${route.timeoutMs} ms, ${route.maxAttempts} attempts, ` +
    `priority ${priority}`,
    `Services: ${
      route.services.map(({ service, weight }) => `${service} (${weight})`)
        .join(", ")
    }`,
    `Workspace: ${workspace ?? "none"}`,
    `Evacuated failure domains: ${[...evacuated].join(", ") || "none"}`,
    verdict,
    "",
    formatTable(rows, {
      head: [
        "service",
        "runner",
        "address",
        "failure domain",
        "load",
        "slots",
        "failed",
        "avoided",
        "limit",
        "cold for",
      ],
      style,
    }),
  ].join("\n");
}

/** Finds why a request would be refused without an attempt. */
function findRefusal(explanation: RequestExplanation): string | undefined {
  const { key, route, services } = explanation;
  if (route === undefined) return "no route matches it";
  if (key === "unknown") return "the API key is unknown";
  const isEmpty = services.every(({ runners }) => runners.length === 0);
  return isEmpty ? "no runner accepts new requests" : undefined;
}

function formatRunner(service: string, runner: RunnerExplanation): string[] {
  return [
    service,
    runner.id,
    runner.address,
    runner.failureDomain,
    String(runner.load),
    String(runner.slots),
    `${Math.round(runner.failureShare * 100)} %`,
    runner.isAvoided ? "yes" : "no",
    runner.limitPerSecond === undefined ? "" : `${runner.limitPerSecond}/s`,
    runner.coldLeftMs === undefined
      ? ""
      : `${Math.round(runner.coldLeftMs)} ms`,
  ];
}
