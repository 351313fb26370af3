import { exitCodes } from "@jasminetide/runtime/process";
import { type CommandResult, formatTable, type Style } from "../output/mod.ts";
import type { CheckReport } from "./check_documents.ts";

/** Reports the result of a check; any fault fails the command. */
export function reportCheck(report: CheckReport): CommandResult {
  const hasFaults = report.faults.length > 0;
  return {
    exitCode: hasFaults ? exitCodes.failed : exitCodes.ok,
    document: report,
    formatText: (style) =>
      hasFaults
        ? formatFaultTable(report, style)
        : style.green(`${report.files.length} files without faults`),
  };
}

function formatFaultTable(report: CheckReport, style: Style): string {
  const rows = report.faults.map((fault) => [
    `${fault.file}:${fault.line}`,
    fault.path === "" ? "document" : fault.path,
    style.red(fault.found),
    fault.wanted,
  ]);
  const table = formatTable(rows, {
    head: ["file", "path", "found", "expected"],
    style,
  });
  return `${table}\n\n${report.faults.length} faults in ` +
    `${report.files.length} files`;
}
