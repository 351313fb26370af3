/** Reports of a run: text, JSON and SVG. */
export * from "./draw_report.ts";
export * from "./load_report.ts";
