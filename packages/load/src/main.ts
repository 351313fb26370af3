/** Program `jasminetide-load`. */
import { mkdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import { productVersion } from "@jasminetide/core";
import { requireDocument } from "@jasminetide/core/configuration";
import { normalizeError } from "@jasminetide/core/results";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { exitCodes } from "@jasminetide/runtime/process";
import {
  command,
  flag,
  number,
  option,
  optional,
  positional,
  run,
  string,
} from "cmd-ts";
import {
  checkHistory,
  type HistoryEvent,
  HistoryWriter,
} from "./history/mod.ts";
import {
  drawLoadReport,
  formatLoadReport,
  type LoadReport,
} from "./reports/mod.ts";
import { LoadRun } from "./run/mod.ts";
import {
  checkLoopbackTargets,
  type Scenario,
  scenarioSchema,
} from "./scenario/mod.ts";

const progressPeriodMs = 1000;

type Flags = {
  scenario: string;
  out: string | undefined;
  seed: number | undefined;
  duration: number | undefined;
  allowRemote: boolean;
  json: boolean;
};

async function loadScenario(flags: Flags): Promise<Scenario> {
  const text = await readFile(flags.scenario, "utf8");
  const scenario = requireDocument(text, {
    file: flags.scenario,
    schema: scenarioSchema,
  });
  const overridden = scenarioSchema.parse({
    ...scenario,
    seed: flags.seed ?? scenario.seed,
    durationSeconds: flags.duration ?? scenario.durationSeconds,
  });
  if (!flags.allowRemote) checkLoopbackTargets(overridden);
  return overridden;
}

async function runScenario(flags: Flags): Promise<LoadReport> {
  const scenario = await loadScenario(flags);
  const folder = flags.out ?? join("reports", scenario.name);
  await mkdir(folder, { recursive: true });
  await using history = HistoryWriter.create(join(folder, "history.jsonl"));
  const events: HistoryEvent[] = [];
  const timers = RealTimerService.create();
  await using load = LoadRun.create({
    scenario,
    timers,
    record: (event) => {
      events.push(event);
      history.write(event);
    },
  });
  using _progress = timers.subscribe(
    progressPeriodMs,
    () => showProgress(load),
  );
  await load.run();
  const result: LoadReport = {
    scenario: scenario.name,
    seed: scenario.seed,
    durationMs: load.getNowMs(),
    mixes: load.stats.summarize(),
    history: checkHistory(events),
  };
  await writeReport(folder, result);
  return result;
}

async function writeReport(folder: string, report: LoadReport): Promise<void> {
  const json = JSON.stringify(report, null, 2);
  await writeFile(join(folder, "report.json"), `${json}\n`);
  await writeFile(join(folder, "report.txt"), `${formatLoadReport(report)}\n`);
  await writeFile(join(folder, "report.svg"), await drawLoadReport(report));
}

/** Updates a progress line, only if stderr is a terminal. */
function showProgress(load: LoadRun): void {
  if (process.stderr.isTTY !== true) return;
  const { sent, answered, failed } = load.stats.getTotals();
  const seconds = (load.getNowMs() / 1000).toFixed(0);
  process.stderr.write(
    `\r${seconds} s: ${sent} sent, ${answered} answered, ${failed} failed `,
  );
}

const program = command({
  name: "jasminetide-load",
  version: productVersion,
  description: "Sends the load of a scenario to a fleet and checks the " +
    "answers. Writes history.jsonl, report.txt, report.json and report.svg. " +
    "Exit codes: 0 no violation, 1 violations or failure.",
  examples: [{
    description: "Send load to the local fleet",
    command: "jasminetide-load examples/load/local.jsonc",
  }],
  args: {
    scenario: positional({ type: string, displayName: "scenario" }),
    out: option({
      type: optional(string),
      long: "out",
      description: "Folder of the reports (default: reports/<scenario>)",
    }),
    seed: option({ type: optional(number), long: "seed" }),
    duration: option({
      type: optional(number),
      long: "duration",
      description: "Duration of arrivals in seconds",
    }),
    allowRemote: flag({
      long: "allow-remote",
      description: "Allow targets on other machines",
    }),
    json: flag({ long: "json", description: "Print the report as JSON" }),
  },
  handler: async (flags) => {
    try {
      const result = await runScenario(flags);
      console.log(
        flags.json ? JSON.stringify(result, null, 2) : formatLoadReport(result),
      );
      const isClean = result.history.violations.length === 0;
      process.exitCode = isClean ? exitCodes.ok : exitCodes.failed;
    } catch (thrown) {
      const error = normalizeError(thrown);
      console.error(`${error.message}\n(code ${error.code})`);
      process.exitCode = exitCodes.failed;
    }
  },
});

await run(program, process.argv.slice(2));
