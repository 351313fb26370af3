import {
  type CapacityData,
  type CapacityFigure,
  type CapacityItem,
  capacityItems,
  getCpuShare,
  getMemoryShare,
} from "./items.ts";

/** Comments that mark the begin and the end of the table in the page. */
export const tableMarkers = {
  begin: "<!-- capacity:begin -->",
  end: "<!-- capacity:end -->",
} as const;

const heading = [
  "role",
  "what",
  "mechanism",
  "measured",
  "slope",
  "in two years",
  "share of the limit",
];

/** Formats the table of the page from measured data. */
export function formatTable(data: CapacityData): string {
  const rows = capacityItems.map((item) => {
    const figure = data.figures.find((each) => each.name === item.name);
    return figure === undefined ? [] : formatRow(item, figure);
  });
  return [heading, heading.map(() => "---"), ...rows]
    .map((cells) => `| ${cells.join(" | ")} |`)
    .join("\n");
}

/** Gets the rows of the table in a page, without padding. */
export function findTable(page: string): string[] {
  const begin = page.indexOf(tableMarkers.begin) + tableMarkers.begin.length;
  return normalizeTable(page.slice(begin, page.indexOf(tableMarkers.end)));
}

/** Splits a table into rows and removes the padding of the formatter. */
export function normalizeTable(table: string): string[] {
  return table.split("\n")
    .filter((line) => line.startsWith("|") && !/^[|\s-]+$/.test(line))
    .map((line) => line.split("|").map((cell) => cell.trim()).join("|"));
}

/** Replaces the table in a page. */
export function replaceTable(page: string, table: string): string {
  const begin = page.indexOf(tableMarkers.begin) + tableMarkers.begin.length;
  const end = page.indexOf(tableMarkers.end);
  return `${page.slice(0, begin)}\n\n${table}\n\n${page.slice(end)}`;
}

function formatRow(item: CapacityItem, figure: CapacityFigure): string[] {
  const first = figure.points[0];
  const last = figure.points[figure.points.length - 1];
  return [
    item.role,
    item.name,
    item.mechanism,
    `${formatValue(item, first.y)} at ${first.x} to ` +
    `${formatValue(item, last.y)} at ${last.x} ${item.sizeUnit}`,
    `${formatValue(item, figure.slope)} each`,
    `${formatValue(item, figure.atTarget)} at ` +
    `${Math.round(item.targetSize)} ${item.sizeUnit}`,
    formatShare(item, figure),
  ];
}

function formatValue(item: CapacityItem, value: number): string {
  if (item.unit === "µs") return `${Number(value.toPrecision(3))} µs`;
  if (Math.abs(value) < 10_000) return `${Math.round(value)} B`;
  return `${(value / 1024 / 1024).toFixed(2)} MiB`;
}

function formatShare(item: CapacityItem, figure: CapacityFigure): string {
  if (item.unit === "bytes") {
    return `${(getMemoryShare(figure.atTarget) * 100).toFixed(1)} % of 128 MiB`;
  }
  return `${(getCpuShare(item, figure) * 100).toFixed(3)} % of a core`;
}
