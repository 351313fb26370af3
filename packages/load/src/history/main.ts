/** Program `check-history`. */
import { createReadStream } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import { normalizeError } from "@jasminetide/core/results";
import { exitCodes } from "@jasminetide/runtime/process";
import { command, flag, positional, run, string } from "cmd-ts";
import { checkHistory, formatHistoryReport } from "./check_history.ts";
import type { HistoryEvent } from "./events.ts";
import { parseEvent } from "./parse_history.ts";

async function loadHistory(file: string): Promise<HistoryEvent[]> {
  const events: HistoryEvent[] = [];
  let lineNumber = 0;
  for await (const line of createInterface({ input: createReadStream(file) })) {
    lineNumber += 1;
    if (line.trim() !== "") events.push(parseEvent(line, lineNumber));
  }
  return events;
}

const program = command({
  name: "check-history",
  description: "Checks the history of a concurrent run. Exit codes: 0 no " +
    "violations, 1 violations or an unreadable history.",
  args: {
    json: flag({ long: "json", description: "Print the report as JSON" }),
    file: positional({ type: string, displayName: "file" }),
  },
  handler: async ({ json, file }) => {
    try {
      const report = checkHistory(await loadHistory(file));
      console.log(
        json ? JSON.stringify(report, null, 2) : formatHistoryReport(report),
      );
      const isClean = report.violations.length === 0;
      process.exitCode = isClean ? exitCodes.ok : exitCodes.failed;
    } catch (thrown) {
      const error = normalizeError(thrown);
      console.error(`${error.message}\n(code ${error.code})`);
      process.exitCode = exitCodes.failed;
    }
  },
});

await run(program, process.argv.slice(2));
