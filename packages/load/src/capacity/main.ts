import { readFile, writeFile } from "node:fs/promises";
import process from "node:process";
import { command, flag, run } from "cmd-ts";
import {
  type CapacityData,
  capacityDataSchema,
  capacityItems,
  measureItem,
} from "./items.ts";
import {
  findTable,
  formatTable,
  normalizeTable,
  replaceTable,
} from "./page.ts";

const dataFile = new URL(
  "../../../../docs/data/capacity.json",
  import.meta.url,
);
const pageFile = new URL("../../../../docs/CAPACITY.md", import.meta.url);

const program = command({
  name: "capacity",
  description: "Measures the slopes in docs/CAPACITY.md.",
  args: {
    write: flag({
      long: "write",
      description: "Write the data file and the table of the page",
    }),
  },
  handler: async ({ write }) => {
    const data = measureAll();
    if (write) await writeAll(data);
    else await compareAll(data);
  },
});

function measureAll(): CapacityData {
  const figures = capacityItems.map((item) => {
    const figure = measureItem(item);
    console.log(`${item.name}: ${figure.slope} ${item.unit} each`);
    return figure;
  });
  return { command: "npm run capacity", node: process.version, figures };
}

async function writeAll(data: CapacityData): Promise<void> {
  await writeFile(dataFile, `${JSON.stringify(data, null, 2)}\n`);
  const page = await readFile(pageFile, "utf8");
  await writeFile(pageFile, replaceTable(page, formatTable(data)));
}

/** Prints the measured and the committed slopes, and checks the page. */
async function compareAll(measured: CapacityData): Promise<void> {
  const committed = capacityDataSchema.parse(
    JSON.parse(await readFile(dataFile, "utf8")),
  );
  for (const { name, slope } of measured.figures) {
    const committedSlope = committed.figures.find((each) => each.name === name)
      ?.slope;
    console.log(`${name}: ${slope} now, ${committedSlope ?? "none"} committed`);
  }
  const page = findTable(await readFile(pageFile, "utf8")).join("\n");
  const expected = normalizeTable(formatTable(committed)).join("\n");
  if (page === expected) return;
  console.error("docs/CAPACITY.md differs from docs/data/capacity.json");
  process.exitCode = 1;
}

await run(program, process.argv.slice(2));
