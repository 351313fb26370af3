import type { MoneyRunOptions, MoneyRunResult } from "./money_run.ts";

/** Longest list of violations in a report. */
const maxListed = 5;

/** Formats what a run found as one flat JSON object. */
export function createRunReport(
  result: MoneyRunResult,
  options: Pick<MoneyRunOptions, "seed" | "outageMode">,
) {
  const { counts, violations, ...rest } = result;
  return {
    ...options,
    ...counts,
    ...rest,
    violations: violations.length,
    examples: violations.slice(0, maxListed),
  };
}
