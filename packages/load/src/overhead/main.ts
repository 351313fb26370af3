/** Command `overhead`, which measures the fleet's overhead per request. */
import process from "node:process";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { command, flag, number, option, run } from "cmd-ts";
import { formatOverhead, measureOverhead } from "./measure_overhead.ts";
import { startPaths } from "./paths.ts";

const program = command({
  name: "overhead",
  description: "Measures the fleet's overhead on requests to a runner.",
  args: {
    latencyRequests: option({
      type: number,
      long: "latency-requests",
      defaultValue: () => 2000,
    }),
    throughputRequests: option({
      type: number,
      long: "throughput-requests",
      defaultValue: () => 8000,
    }),
    concurrency: option({
      type: number,
      long: "concurrency",
      defaultValue: () => 32,
    }),
    json: flag({ long: "json", description: "Print the report as JSON" }),
  },
  handler: async ({ json, ...options }) => {
    const timers = RealTimerService.create();
    await using paths = await startPaths(timers);
    const report = await measureOverhead(paths, {
      ...options,
      getNowMs: () => timers.nowMs(),
    });
    console.log(json ? JSON.stringify(report) : formatOverhead(report));
  },
});

await run(program, process.argv.slice(2));
