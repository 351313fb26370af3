/** Helpers that start a local fleet for tests. */
import { fileURLToPath } from "node:url";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import { type FleetDefinition, loadFleet } from "./load_fleet.ts";
import { LocalFleet, type LocalFleetOptions } from "./local_fleet.ts";

/** Timer service that fleets under test use. */
export const timers = RealTimerService.create();

/** API key of workspace `local` in the local fleet. */
export const callerKey = "local-key";

/** Folder with the configuration and settings of the local fleet. */
export const localFolder = fileURLToPath(
  new URL("../../../examples/local", import.meta.url),
);

const pollMs = 5;

/** Polls until a condition holds; the step's timeout bounds the wait. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await new Promise((resolve) => timers.schedule(pollMs, resolve));
  }
}

/** Options for a fleet under test. */
export type TestFleetOptions =
  & Pick<
    LocalFleetOptions,
    "linkSidecar" | "leaveNoticeMs"
  >
  & {
    /** Changes the definition of the local fleet before the start. */
    changeDefinition?: (definition: FleetDefinition) => FleetDefinition;
  };

/** Starts the local fleet on free ports and waits until it is ready. */
export async function startTestFleet(
  options: TestFleetOptions = {},
): Promise<LocalFleet> {
  const { changeDefinition = (definition) => definition, ...rest } = options;
  const definition = await loadFleet(localFolder);
  const fleet = await LocalFleet.create({
    definition: changeDefinition({
      ...definition,
      standIns: { ...definition.standIns, hostListLagMs: 0 },
    }),
    timers,
    createLogger: createSilentLogger,
    useFreePorts: true,
    leaveNoticeMs: 0,
    ...rest,
  });
  await waitUntil(() => fleet.routers.every((router) => router.isReady));
  return fleet;
}

/** Returns the URL of a path at a router; routers are numbered from 1. */
export function getUrl(fleet: LocalFleet, path: string, router = 1): string {
  return `http://${fleet.routers[router - 1].callerAddress}${path}`;
}
