/** Report of a run of the ledger. */
import type { MoneyRunOptions, MoneyRunResult } from "./money_run.ts";

/** Limit on the violations that a report lists. */
const maxListed = 5;

/** Creates a flat JSON object of the results of a run. */
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
