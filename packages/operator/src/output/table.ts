import Table from "cli-table3";
import picocolors from "picocolors";

/** Colour functions; without colours they return the text unchanged. */
export type Style = ReturnType<typeof picocolors.createColors>;

/** Creates the style of an output; only terminals have colours. */
export function createStyle(isTerminal: boolean): Style {
  return picocolors.createColors(isTerminal);
}

const plainBorders = {
  "top": "",
  "top-mid": "",
  "top-left": "",
  "top-right": "",
  "bottom": "",
  "bottom-mid": "",
  "bottom-left": "",
  "bottom-right": "",
  "left": "",
  "left-mid": "",
  "mid": "",
  "mid-mid": "",
  "right": "",
  "right-mid": "",
  "middle": "  ",
};

/** Formats a table with aligned columns, a header and no borders. */
export function formatTable(
  rows: readonly (readonly string[])[],
  options: { head: readonly string[]; style: Style },
): string {
  const table = new Table({
    head: options.head.map((cell) => options.style.bold(cell)),
    chars: plainBorders,
    style: { "head": [], "border": [], "padding-left": 0, "padding-right": 0 },
  });
  for (const row of rows) table.push([...row]);
  return table.toString().split("\n").map((line) => line.trimEnd()).join("\n");
}

/** Formats the value of a setting on one line. */
export function formatValue(value: unknown): string {
  if (value === undefined) return "-";
  return typeof value === "string" ? value : JSON.stringify(value);
}
