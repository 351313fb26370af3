/** Mean, quantiles and maximum of samples. */
export type Summary = { mean: number; p50: number; p99: number; max: number };

/** Summarizes samples, rounded to `digits` decimal places. */
export function summarize(
  samples: number[],
  options: { digits?: number } = {},
): Summary {
  const sorted = Float64Array.from(samples).sort();
  const factor = 10 ** (options.digits ?? 0);
  const round = (value: number) => Math.round(value * factor) / factor;
  const getQuantile = (share: number) =>
    round(sorted[Math.ceil(share * sorted.length) - 1] ?? 0);
  const total = sorted.reduce((sum, value) => sum + value, 0);
  return {
    mean: round(total / Math.max(1, sorted.length)),
    p50: getQuantile(0.5),
    p99: getQuantile(0.99),
    max: round(sorted.at(-1) ?? 0),
  };
}
