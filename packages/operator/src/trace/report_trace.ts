import { exitCodes } from "@jasminetide/runtime/process";
import { type CommandResult, formatTable, type Style } from "../output/mod.ts";
import type { RequestTrace, TraceLine } from "./trace_request.ts";

/** Reports the trace of a request; an empty trace fails the command. */
export function reportTrace(trace: RequestTrace): CommandResult {
  const isFound = trace.lines.length > 0;
  return {
    exitCode: isFound ? exitCodes.ok : exitCodes.failed,
    document: trace,
    formatText: (style) =>
      isFound
        ? formatLines(trace.lines, style)
        : style.red(`No log line has attempt ${trace.attemptId}`),
  };
}

function formatLines(lines: readonly TraceLine[], style: Style): string {
  const rows = lines.map(({ event, fields, process, timestamp }) => [
    timestamp,
    process,
    event,
    Object.entries(fields)
      .filter(([name]) => name !== "attemptId")
      .map(([name, value]) => `${name}=${value}`)
      .join(" "),
  ]);
  return formatTable(rows, {
    head: ["time", "process", "event", "fields"],
    style,
  });
}
