/** Command-line program `soak`. */
import process from "node:process";
import { exitCodes } from "@jasminetide/runtime/process";
import { command, number, option, run } from "cmd-ts";
import { formatSoakReport, runSoak } from "./soak.ts";

const program = command({
  name: "soak",
  description:
    "Runs the decision code in virtual time under every kind of fault, " +
    "alone, in pairs and twice at a time. " +
    "Exit codes: 0 no violation, 1 a violation.",
  args: {
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    minutes: option({
      type: number,
      long: "minutes",
      description: "Virtual minutes to run; each is one episode",
      defaultValue: () => 60,
    }),
    episode: option({
      type: number,
      long: "episode",
      description: "Number of the first episode, to replay a failure",
      defaultValue: () => 0,
    }),
  },
  handler: async ({ seed, minutes, episode }) => {
    const report = await runSoak({ seed, minutes, firstEpisode: episode });
    console.log(formatSoakReport(report));
    const isClean = report.failures.length === 0;
    process.exitCode = isClean ? exitCodes.ok : exitCodes.failed;
  },
});

await run(program, process.argv.slice(2));
