/** Command-line program `money`. */
import process from "node:process";
import { command, number, option, optional, run, string } from "cmd-ts";
import { createRunReport } from "./report.ts";
import { runMoney } from "./money_run.ts";

const program = command({
  name: "money",
  description: "Runs randomised money calls under faults in virtual time.",
  args: {
    calls: option({ type: number, long: "calls", defaultValue: () => 100_000 }),
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    mode: option({ type: optional(string), long: "mode" }),
  },
  handler: ({ calls, seed, mode }) => {
    const modes = (["refuse", "open-window"] as const)
      .filter((known) => mode === undefined || known === mode);
    for (const outageMode of modes) {
      const share = Math.ceil(calls / modes.length);
      const startedAtMs = performance.now();
      const result = runMoney({ seed, calls: share, outageMode });
      const report = createRunReport(result, { seed, outageMode });
      const seconds = (performance.now() - startedAtMs) / 1000;
      console.log(JSON.stringify({ ...report, seconds }));
      if (result.violations.length > 0) process.exitCode = 1;
    }
  },
});

await run(program, process.argv.slice(2));
