/** Commands for logs: trace. */
import process from "node:process";
import { text } from "node:stream/consumers";
import { command, positional, string } from "cmd-ts";
import type { Output } from "../output/mod.ts";
import { reportTrace, traceRequest } from "../trace/mod.ts";
import { jsonFlag } from "./flags.ts";
import { runCommand } from "./run_command.ts";

/** Creates `trace`. */
export function createTraceCommand(output: Output) {
  return command({
    name: "trace",
    description: "Trace one request through logs read from standard input",
    examples: [{
      description: "Trace a request in the logs of all gateways",
      command: "cat gateway-*.log | jasminetide trace 9c41d07be2a35f68",
    }],
    args: {
      ...jsonFlag,
      attempt: positional({
        type: string,
        displayName: "attempt",
        description: "Id of the caller's attempt",
      }),
    },
    handler: (flags) =>
      runCommand(flags, output, async () => {
        const logs = await text(process.stdin);
        return reportTrace(traceRequest(logs.split("\n"), flags.attempt));
      }),
  });
}
