import process from "node:process";
import { productVersion } from "@jasminetide/core";
import { createDaemonCommand } from "@jasminetide/runtime/process";
import { run } from "cmd-ts";
import { Router } from "./router.ts";
import { routerSettingsSchema } from "./settings.ts";

const program = createDaemonCommand({
  name: "jasminetide-router",
  version: productVersion,
  description: "Receives requests from callers and sends them to runners.",
  schema: routerSettingsSchema,
  start: Router.create,
});

await run(program, process.argv.slice(2));
