/** Command-line program `measure-ledger`. */
import process from "node:process";
import { command, number, option, run } from "cmd-ts";
import type { ShardSettings } from "@jasminetide/core/ledger";
import { measureLedger, type MeasureOptions } from "./measure.ts";
import {
  measureObjectPerKey,
  measureRequestHistory,
} from "./measure_alternatives.ts";

const callsPerSecond = 200;
const steadyMs = 60_000;
const outageStartMs = 10_000;

const program = command({
  name: "measure-ledger",
  description:
    "Measures writes, bytes and added time of the ledger, and estimates " +
    "the cost of alternatives.",
  args: {
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
  },
  handler: ({ seed }) => {
    measureSteady(seed);
    measureOutages(seed);
    report("other", measureObjectPerKey());
    report("other", measureRequestHistory({ historyLength: 64, actors: 1000 }));
  },
});

function measureSteady(seed: number): void {
  for (const shardCount of [1, 4, 16]) {
    for (const groupCommitMs of [5, 20, 100]) {
      const settings = createSettings({ groupCommitMs });
      measure("steady", { seed, shardCount, settings, durationMs: steadyMs });
    }
    const settings = createSettings({ outageMode: "open-window" });
    measure("steady", { seed, shardCount, settings, durationMs: steadyMs });
  }
}

function measureOutages(seed: number): void {
  for (const outageMode of ["refuse", "open-window"] as const) {
    for (const seconds of [5, 60, 180]) {
      for (const isOwnerKilled of [false, true]) {
        const durationMs = seconds * 1000;
        measure("outage", {
          seed,
          shardCount: 4,
          settings: createSettings({ outageMode }),
          durationMs: outageStartMs + durationMs,
          outage: { startMs: outageStartMs, durationMs, isOwnerKilled },
        });
      }
    }
  }
}

function measure(
  name: string,
  options: Omit<MeasureOptions, "callsPerSecond">,
): void {
  const { shardCount, settings, outage } = options;
  const { outageMode, groupCommitMs } = settings;
  const result = measureLedger({ ...options, callsPerSecond });
  const parameters = outage === undefined
    ? { groupCommitMs }
    : { outageMs: outage.durationMs, isOwnerKilled: outage.isOwnerKilled };
  report(name, { outageMode, shardCount, ...parameters, ...result });
}

function report(name: string, result: object): void {
  console.log(JSON.stringify({ name, ...result }));
}

function createSettings(settings: Partial<ShardSettings>): ShardSettings {
  return {
    windowMs: 86_400_000,
    maximumEntriesPerShard: 4096,
    groupCommitMs: 20,
    leaseMs: 10_000,
    outageMode: "refuse",
    openWindowMs: 30_000,
    ...settings,
  };
}

await run(program, process.argv.slice(2));
