import { parse, type Spec, View } from "vega";
import type { LoadReport } from "./load_report.ts";

const widthPixels = 640;
const heightPixels = 360;

/** Lower bound of plotted latencies; a logarithmic axis cannot show 0. */
const minLatencyMs = 0.1;

/** Draws the latency distribution of each mix as SVG. */
export async function drawLoadReport(report: LoadReport): Promise<string> {
  const view = new View(parse(createChart(report)), { renderer: "none" });
  try {
    return await view.toSVG();
  } finally {
    view.finalize();
  }
}

function createChart(report: LoadReport): Spec {
  const values = report.mixes.flatMap((mix) =>
    mix.distribution.map(({ quantile, latencyMs }) => ({
      mix: mix.name,
      quantile: `p${Number((quantile * 100).toFixed(1))}`,
      latencyMs: Math.max(minLatencyMs, latencyMs),
    }))
  );
  return {
    width: widthPixels,
    height: heightPixels,
    padding: 8,
    background: "white",
    title: `${report.scenario}, seed ${report.seed}: latency by quantile`,
    data: [{ name: "points", values }],
    scales: [
      {
        name: "x",
        type: "point",
        range: "width",
        domain: { data: "points", field: "quantile" },
      },
      {
        name: "y",
        type: "log",
        range: "height",
        domain: { data: "points", field: "latencyMs" },
      },
      {
        name: "color",
        type: "ordinal",
        range: "category",
        domain: { data: "points", field: "mix" },
      },
    ],
    axes: [
      { orient: "bottom", scale: "x", title: "Quantile" },
      { orient: "left", scale: "y", title: "Latency in ms", grid: true },
    ],
    legends: [{ stroke: "color", title: "Mix", symbolType: "stroke" }],
    marks: [createLines()],
  };
}

function createLines(): NonNullable<Spec["marks"]>[number] {
  return {
    type: "group",
    from: { facet: { name: "series", data: "points", groupby: "mix" } },
    marks: [{
      type: "line",
      from: { data: "series" },
      encode: {
        enter: {
          x: { scale: "x", field: "quantile" },
          y: { scale: "y", field: "latencyMs" },
          stroke: { scale: "color", field: "mix" },
          strokeWidth: { value: 2 },
        },
      },
    }],
  };
}
