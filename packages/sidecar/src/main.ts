import process from "node:process";
import { productVersion } from "@jasminetide/core";
import { createDaemonCommand } from "@jasminetide/runtime/process";
import { run } from "cmd-ts";
import { sidecarSettingsSchema } from "./settings.ts";
import { Sidecar } from "./sidecar.ts";

const program = createDaemonCommand({
  name: "jasminetide-sidecar",
  version: productVersion,
  description: "Runs beside one runner and proxies all requests to it.",
  schema: sidecarSettingsSchema,
  start: Sidecar.create,
});

await run(program, process.argv.slice(2));
