import { checkAnswers } from "./check_answers.ts";
import { checkConfigurations } from "./check_configuration.ts";
import { checkAtMostOnce, checkReportedExecution } from "./check_effects.ts";
import { checkMoneyKeys } from "./check_money_keys.ts";
import type { HistoryEvent } from "./events.ts";
import { createHistoryIndex, type HistoryIndex } from "./history_index.ts";
import type { Violation } from "./violations.ts";

/** Result of checking a history. */
export type HistoryReport = {
  calls: number;
  answered: number;
  /** Calls that were reported as not run. */
  notRun: number;
  /** Calls whose outcome is unknown. */
  unknown: number;
  effects: number;
  configurations: number;
  /** Which effects at runners are recorded in the history. */
  knownEffects: HistoryIndex["knownEffects"];
  violations: Violation[];
};

/** Checks a history against all invariants. */
export function checkHistory(events: Iterable<HistoryEvent>): HistoryReport {
  const index = createHistoryIndex(events);
  const outcomes = [...index.calls.values()].map((call) => call.outcome);
  const answered =
    outcomes.filter((outcome) => outcome?.type === "answered").length;
  const notRun =
    outcomes.filter((outcome) =>
      outcome?.type === "failed" && outcome.executed === "no"
    ).length;
  return {
    calls: outcomes.length,
    answered,
    notRun,
    unknown: outcomes.length - answered - notRun,
    effects: [...index.effects.values()].reduce((sum, count) => sum + count, 0),
    configurations: index.configurations.length,
    knownEffects: index.knownEffects,
    violations: [
      ...index.malformed,
      ...checkAtMostOnce(index),
      ...checkReportedExecution(index),
      ...checkAnswers(index),
      ...checkConfigurations(index),
      ...checkMoneyKeys(index),
    ],
  };
}

/** Formats a report as text. */
export function formatHistoryReport(report: HistoryReport): string {
  const { violations } = report;
  return [
    `${report.calls} calls: ${report.answered} answered, ` +
    `${report.notRun} not run, ${report.unknown} of unknown outcome`,
    `${report.effects} effects, ${report.configurations} configurations seen`,
    ...formatUnchecked(report.knownEffects),
    ...violations.map(({ check, subject, detail }) =>
      `VIOLATION ${check}: ${subject} ${detail}`
    ),
    `${violations.length} violations`,
  ].join("\n");
}

function formatUnchecked(known: HistoryIndex["knownEffects"]): string[] {
  switch (known) {
    case "all":
      return [];
    case "by-key":
      return ["Not-run promises are checked only for money calls with keys"];
    case "none":
      return [
        "The history records no effects: not-run promises are not checked",
      ];
  }
}
