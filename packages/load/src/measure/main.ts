import process from "node:process";
import {
  boolean,
  command,
  flag,
  number,
  oneOf,
  option,
  optional,
  run,
  string,
} from "cmd-ts";
import { measureDecisions } from "./decision_bench.ts";
import { measureEngineChoice } from "./engine_choice_bench.ts";
import { writePlot } from "./plot.ts";
import { mechanismNames, policyNames } from "./policies.ts";
import { type FiguresByPolicy, formatFigures } from "./report.ts";
import { type ExperimentResult, runExperiment } from "./run_experiment.ts";
import { defaultScenario } from "./scenario.ts";

const minuteMs = 60_000;

/** Numbers of runners: the present fleet and the target size. */
const decisionSizes = [13, 660];

/** Pools of a gateway, most with about 30 requests at each engine. */
const engineChoiceSizes = [
  { runners: 13, outstanding: 300 },
  { runners: 31, outstanding: 1000 },
  { runners: 100, outstanding: 3000 },
  { runners: 660, outstanding: 10_000 },
  { runners: 100, outstanding: 3000, gateways: 24 },
  { runners: 100, outstanding: 3000, gateways: 300 },
];

const program = command({
  name: "measure",
  description: "Measures routing policies in virtual time. The same seed " +
    "gives the same traffic to each policy and the same figures.",
  args: {
    json: flag({
      type: boolean,
      long: "json",
      description: "Also print a JSON object keyed by policy",
    }),
    seed: option({
      type: number,
      long: "seed",
      defaultValue: () => defaultScenario.seed,
    }),
    minutes: option({
      type: number,
      long: "minutes",
      description: "Measured time after the warm-up",
      defaultValue: () => defaultScenario.durationMs / minuteMs,
    }),
    quiet: flag({
      type: boolean,
      long: "quiet",
      description: "No churn and no surge",
    }),
    noSurge: flag({
      type: boolean,
      long: "no-surge",
      description: "Churn without the surge",
    }),
    without: option({
      type: optional(oneOf(Object.keys(mechanismNames))),
      long: "without",
      description: 'Turn off one mechanism of the policy "ours": ' +
        Object.keys(mechanismNames).join(", "),
    }),
    decisions: flag({
      type: boolean,
      long: "decisions",
      description:
        "Measure the time of routing decisions over 13 and 660 runners instead",
    }),
    plot: option({
      type: optional(string),
      long: "plot",
      description: "SVG file for reuse and skew over time",
    }),
  },
  handler: async (args) => {
    if (args.decisions) {
      for (const runners of decisionSizes) {
        const figures = measureDecisions({ runners, seed: args.seed });
        console.log(JSON.stringify(figures));
      }
      for (const size of engineChoiceSizes) {
        const figures = measureEngineChoice({ ...size, seed: args.seed });
        console.log(JSON.stringify({ ...size, ...figures }));
      }
      return;
    }
    const scenario = {
      ...defaultScenario,
      seed: args.seed,
      durationMs: args.minutes * minuteMs,
      ...(args.quiet ? { churnPerMinute: 0, hasSurge: false } : {}),
      ...(args.noSurge ? { hasSurge: false } : {}),
    };
    const without = args.without as keyof typeof mechanismNames | undefined;
    const results = policyNames.map((policy) =>
      [policy, runExperiment(scenario, { policy, without })] as const
    );
    const figures = selectField(results, "figures");
    console.log(`Seed ${args.seed}, without ${without ?? "nothing"}`);
    console.log(formatFigures(figures));
    if (args.plot !== undefined) {
      await writePlot(args.plot, selectField(results, "minutes"));
    }
    if (args.json) {
      console.log(JSON.stringify(figures satisfies FiguresByPolicy));
    }
  },
});

await run(program, process.argv.slice(2));

/** Selects one field of each result, keyed by policy. */
function selectField<Field extends keyof ExperimentResult>(
  results: readonly (readonly [string, ExperimentResult])[],
  field: Field,
): { [policy: string]: ExperimentResult[Field] } {
  return Object.fromEntries(
    results.map(([policy, result]) => [policy, result[field]]),
  );
}
