import { exitCodes } from "@jasminetide/runtime/process";
import { formatHashes, formatRankedChanges } from "../changes/mod.ts";
import {
  type CommandResult,
  type ExitCode,
  formatTable,
  type Style,
} from "../output/mod.ts";
import type { CheckReport, LocatedFinding } from "./check_documents.ts";
import type { Comparison } from "./compare_in_force.ts";

/** Options of a report. */
export type ReportCheckOptions = {
  /** Whether warnings fail the command too. */
  isStrict: boolean;
  comparison: Comparison | undefined;
};

/** Reports the result of a check; faults and errors fail the command. */
export function reportCheck(
  report: CheckReport,
  options: ReportCheckOptions,
): CommandResult {
  const { comparison, isStrict } = options;
  return {
    exitCode: getCheckExitCode(report, isStrict),
    document: {
      ...report,
      ...(comparison === undefined
        ? {}
        : { comparison: formatHashes(comparison) }),
    },
    formatText: (style) =>
      [
        ...(report.faults.length === 0
          ? []
          : [formatFaultTable(report, style)]),
        ...(report.findings.length === 0
          ? []
          : [formatFindings(report.findings, style)]),
        formatSummary(report, style),
        ...(comparison === undefined
          ? []
          : [formatComparison(comparison, style)]),
      ].join("\n\n"),
  };
}

function getCheckExitCode(
  { faults, findings }: CheckReport,
  isStrict: boolean,
): ExitCode {
  const isFailed = faults.length > 0 ||
    findings.some(({ severity }) => isStrict || severity === "error");
  return isFailed ? exitCodes.failed : exitCodes.ok;
}

function formatFaultTable(report: CheckReport, style: Style): string {
  const rows = report.faults.map((fault) => [
    `${fault.file}:${fault.line}`,
    fault.path === "" ? "document" : fault.path,
    style.red(fault.found),
    fault.wanted,
  ]);
  return formatTable(rows, {
    head: ["file", "path", "found", "expected"],
    style,
  });
}

function formatFindings(
  findings: readonly LocatedFinding[],
  style: Style,
): string {
  const rows = findings.map(({ code, file, line, path, severity, text }) => [
    `${file}:${line}`,
    path,
    severity === "error" ? style.red(severity) : style.yellow(severity),
    code,
    text,
  ]);
  return formatTable(rows, {
    head: ["file", "path", "severity", "finding", "detail"],
    style,
  });
}

function formatSummary(
  { faults, files, findings }: CheckReport,
  style: Style,
): string {
  const fileCount = `${files.length} files`;
  const text = faults.length === 0
    ? style.green(`${fileCount} without faults`)
    : `${faults.length} faults in ${fileCount}`;
  if (findings.length === 0) return text;
  const errors = findings.filter(({ severity }) => severity === "error");
  return `${text}; ${errors.length} errors, ` +
    `${findings.length - errors.length} warnings`;
}

function formatComparison(
  { against, changes, file, version }: Comparison,
  style: Style,
): string {
  if (changes === undefined) {
    return `${file} against ${against}: no version is in force`;
  }
  return [
    `${file} against ${against}${version === 0 ? "" : `, version ${version}`}:`,
    formatRankedChanges(changes, style),
  ].join("\n");
}
