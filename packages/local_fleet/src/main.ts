/** Runs a local fleet until the process is stopped. */
import process from "node:process";
import { fileURLToPath } from "node:url";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { createLogger } from "@jasminetide/runtime/logging";
import { logViolations, runProgram } from "@jasminetide/runtime/process";
import { loadFleet } from "./load_fleet.ts";
import { LocalFleet } from "./local_fleet.ts";

const localFolder = fileURLToPath(
  new URL("../../../examples/local", import.meta.url),
);

/** Folder of the fleet, such as `examples/vozikovy`; the local one if unset. */
const folder = process.argv[2] ?? localFolder;
const logger = createLogger({ process: "local-fleet" });
const readyPollMs = 50;

await runProgram(async () => {
  logViolations(logger);
  const timers = RealTimerService.create();
  const fleet = await LocalFleet.create({
    definition: await loadFleet(folder),
    leaveNoticeMs: 0,
    timers,
    createLogger: (process) => createLogger({ process, level: "warn" }),
  });
  while (!fleet.routers.every((router) => router.isReady)) {
    await new Promise((resolve) => timers.schedule(readyPollMs, resolve));
  }
  logger.info("ready", {
    callers: fleet.routers.map((router) => router.callerAddress).join(","),
    platform: fleet.platformAddress,
  });
  return fleet;
}, logger);
