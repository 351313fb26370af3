import { exitCodes } from "@jasminetide/runtime/process";
import { type CommandResult, formatTable, type Style } from "../output/mod.ts";
import type { RequestStory, TraceLine } from "./trace_request.ts";

/** Reports the story of a request, or that no log names it. */
export function reportTrace(story: RequestStory): CommandResult {
  const isFound = story.lines.length > 0;
  return {
    exitCode: isFound ? exitCodes.ok : exitCodes.failed,
    document: story,
    formatText: (style) =>
      isFound
        ? formatStory(story.lines, style)
        : style.red(`No line names attempt ${story.attemptId}`),
  };
}

function formatStory(lines: readonly TraceLine[], style: Style): string {
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
    head: ["time", "process", "event", "inputs and outcome"],
    style,
  });
}
