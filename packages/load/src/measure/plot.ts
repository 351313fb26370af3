import { writeFile } from "node:fs/promises";
import vega from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { MinuteFigures } from "./collector.ts";

/** Figures of each minute, keyed by policy. */
export type MinutesByPolicy = { [policy: string]: MinuteFigures[] };

const chart = { width: 640, height: 240 };

/** Writes a chart of reuse and skew over time as SVG. */
export async function writePlot(
  file: string,
  minutes: MinutesByPolicy,
): Promise<void> {
  const values = Object.entries(minutes).flatMap(([policy, rows]) =>
    rows.map((row) => ({ policy, ...row }))
  );
  const { spec } = compile(createSpec(values));
  const view = new vega.View(vega.parse(spec), { renderer: "none" });
  await writeFile(file, await view.toSVG());
  view.finalize();
}

function createSpec(
  values: (MinuteFigures & { policy: string })[],
): TopLevelSpec {
  return {
    data: { values },
    vconcat: [
      createChart("reuse", "Reused share of prompt tokens"),
      createChart("skewMax", "Highest load over mean"),
    ],
  };
}

function createChart(field: keyof MinuteFigures, title: string) {
  return {
    ...chart,
    mark: "line" as const,
    encoding: {
      x: { field: "minute", type: "quantitative" as const },
      y: {
        field,
        title,
        type: "quantitative" as const,
        scale: { zero: false },
      },
      color: { field: "policy", type: "nominal" as const },
    },
  };
}
