import { fileURLToPath } from "node:url";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import { type FleetDefinition, loadFleet } from "./load_fleet.ts";
import { LocalFleet, type LocalFleetOptions } from "./local_fleet.ts";

/** Timer service of fleets under test. */
export const timers = RealTimerService.create();

/** Key of a caller of the local fleet. */
export const callerKey = "local-key";

/** Folder of the local fleet. */
export const localFolder = fileURLToPath(
  new URL("../../../examples/local", import.meta.url),
);

const pollMs = 5;

/** Waits until a condition holds; a test's own limit ends a hopeless wait. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await new Promise((resolve) => timers.schedule(pollMs, resolve));
  }
}

/** What a fleet under test does differently. */
export type TestFleetOptions =
  & Pick<
    LocalFleetOptions,
    "linkSidecar" | "leaveNoticeMs"
  >
  & {
    change?: (definition: FleetDefinition) => FleetDefinition;
  };

/** Starts the local fleet on free ports and waits until it is ready. */
export async function startTestFleet(
  options: TestFleetOptions = {},
): Promise<LocalFleet> {
  const { change = (definition) => definition, ...rest } = options;
  const definition = await loadFleet(localFolder);
  const fleet = await LocalFleet.create({
    definition: change({
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

/** Gets the URL of a path at a router, counted from 1. */
export function getUrl(fleet: LocalFleet, path: string, router = 1): string {
  return `http://${fleet.routers[router - 1].callerAddress}${path}`;
}
