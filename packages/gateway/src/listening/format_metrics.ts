import type { MetricsSnapshot } from "@jasminetide/runtime/metrics";

/** Formats metrics in the Prometheus text format. */
export function formatMetrics(snapshot: MetricsSnapshot): string {
  const lines: string[] = [];
  for (const [name, value] of Object.entries(snapshot.counters)) {
    lines.push(`${formatName(name)}_total ${value}`);
  }
  for (const [name, summary] of Object.entries(snapshot.histograms)) {
    const base = formatName(name);
    lines.push(`${base}{quantile="0.5"} ${summary.p50}`);
    lines.push(`${base}{quantile="0.95"} ${summary.p95}`);
    lines.push(`${base}{quantile="0.99"} ${summary.p99}`);
    lines.push(`${base}_count ${summary.count}`);
  }
  return `${lines.join("\n")}\n`;
}

function formatName(name: string): string {
  return `jasminetide_${name.replace(/[^a-z0-9]+/gi, "_")}`;
}
