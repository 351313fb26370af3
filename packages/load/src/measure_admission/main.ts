import process from "node:process";
import { command, flag, number, option, run } from "cmd-ts";
import { measureBusiestMinute } from "./busiest_minute.ts";
import { measureOverload } from "./overload.ts";
import { measureSurge } from "./surge.ts";

const surgeFactor = 10;

const program = command({
  name: "measure:admission",
  description:
    "Measures surges, overload and the busiest minute at a runner, " +
    "each with and without the mechanism that limits its effect",
  args: {
    seed: option({
      type: number,
      long: "seed",
      description: "First seed",
      defaultValue: () => 1,
    }),
    seeds: option({
      type: number,
      long: "seeds",
      description: "Number of seeds",
      defaultValue: () => 3,
    }),
    json: flag({ long: "json", description: "Print one JSON object" }),
  },
  handler: async ({ json, seed, seeds }) => {
    const list = Array.from({ length: seeds }, (_, index) => seed + index);
    const surges = await measureSurges(list);
    const overloads = await measureOverloads(list);
    const busiestMinutes = measureMinutes(list);
    if (json) {
      console.log(JSON.stringify({ surges, overloads, busiestMinutes }));
      return;
    }
    for (const rows of [surges, overloads, busiestMinutes]) console.table(rows);
  },
});

async function measureSurges(seeds: number[]) {
  const rows = [];
  for (const seed of seeds) {
    for (
      const surge of [
        { seed, factor: 1, sharesSlots: true },
        { seed, factor: surgeFactor, sharesSlots: true },
        { seed, factor: surgeFactor, sharesSlots: false },
      ]
    ) {
      const { othersP95Ms, ...result } = await measureSurge(surge);
      const othersFirstTokenP95Ms = Number(othersP95Ms.toFixed(1));
      rows.push({ ...surge, othersFirstTokenP95Ms, ...result });
    }
  }
  return rows;
}

async function measureOverloads(seeds: number[]) {
  const rows = [];
  for (const seed of seeds) {
    for (const requestsPerSecond of [20, 40]) {
      for (const fixedLimit of [undefined, 64, 256]) {
        const limit = fixedLimit === undefined ? {} : { fixedLimit };
        const result = await measureOverload({
          ...{ seed, requestsPerSecond },
          ...limit,
        });
        rows.push({
          ...{ seed, requestsPerSecond, limit: fixedLimit ?? "adaptive" },
          ...result,
          firstTokenP95Ms: Math.round(result.firstTokenP95Ms),
          betweenTokensP95Ms: Math.round(result.betweenTokensP95Ms),
        });
      }
    }
  }
  return rows;
}

function measureMinutes(seeds: number[]) {
  return seeds.map((seed) => {
    const withoutHold = measureBusiestMinute({ seed, holdBack: false });
    const withHold = measureBusiestMinute({ seed, holdBack: true });
    const regularOnly = measureBusiestMinute({
      seed,
      holdBack: true,
      isRegularOnly: true,
    });
    return {
      seed,
      peakTokensBefore: withoutHold.peakTokens,
      peakTokensHeldBack: withHold.peakTokens,
      peakTokensWithoutDeferrable: regularOnly.peakTokens,
      missed: withHold.missed,
    };
  });
}

await run(program, process.argv.slice(2));
