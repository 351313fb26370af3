/** One episode: a small simulated fleet under faults for a virtual minute. */
import { getViolationCounts } from "@jasminetide/core/results";
import type { RunnerRow } from "@jasminetide/core/tables";
import { checkHistory } from "../history/mod.ts";
import { FakePlatform } from "./fake_platform.ts";
import type { Fault } from "./faults.ts";
import { Links } from "./links.ts";
import { SoakCallers } from "./soak_callers.ts";
import { SoakConfiguration } from "./soak_configuration.ts";
import { SoakDuties } from "./soak_duties.ts";
import type { ListedRunner } from "./soak_members.ts";
import { SoakEditors } from "./soak_editors.ts";
import { type RetryRule, SoakRouter } from "./soak_router.ts";
import { SoakSidecar } from "./soak_sidecar.ts";
import { World } from "./world.ts";

/** Virtual length of an episode. */
export const episodeMs = 60_000;

/** Time after which callers and editors send nothing more. */
const lastCallMs = 45_000;
const routerCount = 3;

/**
 * Number of processes that watch the platform. The others receive the number
 * of a new version from a peer.
 */
const watcherCount = 2;
const runnerCount = 6;
const expirePeriodMs = 1000;
const hostListLagMs = 1500;
const digestPeriodMs = 1000;
const flapPeriodMs = 1500;

/** Results of an episode. */
export type EpisodeReport = {
  violations: string[];
  counts: ReadonlyMap<string, number>;
};

/** Input of an episode. */
export type EpisodeOptions = {
  seed: number;
  faults: readonly Fault[];
  /** Replaces the routers' retry rule, to inject a violation. */
  mayRetry?: RetryRule | undefined;
};

/** Runs one episode of a small fleet under the given faults. */
export async function runEpisode(
  options: EpisodeOptions,
): Promise<EpisodeReport> {
  const world = World.create(options);
  const before = new Map(getViolationCounts());
  const fleet = createFleet(world, options);
  world.events.push({ type: "header", formatVersion: 1, effects: "all" });
  for (const fault of options.faults) {
    world.timers.schedule(fault.startMs, () => beginFault(fleet, fault));
  }
  fleet.editors.run();
  void fleet.callers.run();
  await world.run(episodeMs);
  checkEnd(fleet);
  checkInvariants(world, before);
  return { violations: world.violations, counts: world.counts };
}

type Fleet = {
  world: World;
  links: Links;
  sidecars: SoakSidecar[];
  routers: SoakRouter[];
  editors: SoakEditors;
  callers: SoakCallers;
  duties: SoakDuties;
};

function createFleet(
  world: World,
  { mayRetry }: EpisodeOptions,
): Fleet {
  const platform = FakePlatform.create(world);
  const links = Links.create(world);
  const peers = new Map<string, SoakConfiguration>();
  const createConfiguration = (process: string) => {
    const isWatcher = peers.size < watcherCount;
    const options = { world, platform, process, isWatcher, peers };
    return SoakConfiguration.create(options);
  };
  const sidecars = createNames("runner", runnerCount).map((id) =>
    SoakSidecar.create(world, {
      row: createRow(id),
      configuration: createConfiguration(`sidecar-${id}`),
    })
  );
  const routers = createNames("router", routerCount).map((name) =>
    SoakRouter.create(name, {
      world,
      links,
      sidecars,
      configuration: createConfiguration(name),
      mayRetry,
    })
  );
  world.timers.subscribe(expirePeriodMs, () => {
    for (const sidecar of sidecars) sidecar.expire();
  });
  const fleet = {
    world,
    links,
    sidecars,
    routers,
    editors: SoakEditors.create(world, { platform, endMs: lastCallMs }),
    callers: SoakCallers.create(world, { routers, endMs: lastCallMs }),
    duties: SoakDuties.create({
      world,
      platform,
      sidecars,
      routers: routers.map(({ name }) => name),
    }),
  };
  listRunners(fleet);
  world.timers.subscribe(hostListLagMs, () => listRunners(fleet));
  world.timers.subscribe(digestPeriodMs, () => announceVersions(fleet));
  return fleet;
}

function createNames(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}${index + 1}`);
}

function createRow(id: string): RunnerRow {
  return {
    id,
    host: id,
    failureDomain: "a",
    region: "r",
    dataAddress: "",
    controlAddress: "",
    kind: "engine",
    pools: ["assistant"],
    capacity: 1,
    loadTokens: 0,
    state: "active",
    epoch: 0,
    sequence: 0,
    configurationVersion: 0,
    observedAtMs: 0,
  };
}

/**
 * Sends each router the host list. It is called once per `hostListLagMs`, so
 * routers see changes late; under `lists-differ` each router gets a random
 * subset of its own.
 */
function listRunners(fleet: Fleet): void {
  const hosts = fleet.sidecars.filter((sidecar) => sidecar.isUp).map(
    ({ isLeaving, row }): ListedRunner => ({
      id: row.id,
      state: isLeaving ? "leaving" : "live",
    }),
  );
  const differs = fleet.world.isActive("lists-differ");
  for (const router of fleet.routers) {
    router.applyList(
      hosts.filter(() => !differs || fleet.world.drawBoolean(0.5)),
    );
  }
}

/** Reports to each process the version of a random one, as a digest does. */
function announceVersions(fleet: Fleet): void {
  const { random } = fleet.world;
  const processes = [...fleet.routers, ...fleet.sidecars].map((process) =>
    process.configuration
  );
  for (const configuration of processes) {
    const peer = processes[random.getInteger(processes.length)];
    configuration.observe(peer.version, peer.address);
  }
}

function beginFault(fleet: Fleet, fault: Fault): void {
  const { duties, links, routers, sidecars, world } = fleet;
  const sidecar = sidecars[fault.target % sidecars.length];
  switch (fault.kind) {
    case "runner-restart":
      void sidecar.restart();
      break;
    case "runner-flap":
      void runFlaps(fleet, {
        sidecar,
        untilMs: fault.startMs + fault.durationMs,
      });
      break;
    case "planned-stop":
      void sidecar.stop(fault.durationMs);
      break;
    case "process-paused":
      sidecar.pause(world.nowMs() + fault.durationMs);
      break;
    case "holder-paused":
      duties.pauseHolder(fault.durationMs);
      break;
    case "connection-silent":
      for (const router of routers) {
        links.silence(`${router.name} ${sidecar.row.id}`);
      }
      break;
    default:
      // The other faults take effect where `World.isActive` is queried.
      break;
  }
}

async function runFlaps(
  fleet: Fleet,
  options: { sidecar: SoakSidecar; untilMs: number },
): Promise<void> {
  while (fleet.world.nowMs() < options.untilMs) {
    await options.sidecar.restart();
    await fleet.world.wait(flapPeriodMs * fleet.world.random.getFloat());
  }
}

/** Checks that the fleet has converged after all faults have ended. */
function checkEnd(fleet: Fleet): void {
  const { world, editors } = fleet;
  editors.check();
  const processes = [...fleet.routers, ...fleet.sidecars];
  for (const { configuration } of processes) {
    world.check(
      "configuration-reaches-everyone",
      configuration.version === editors.acceptedVersion,
      () => `${configuration.version} instead of ${editors.acceptedVersion}`,
    );
  }
  const report = checkHistory(world.events);
  world.count("checked histories");
  for (const { check, subject, detail } of report.violations) {
    world.check(check, false, () => `${subject} ${detail}`);
  }
  world.check(
    "every-caller-gets-an-outcome",
    report.calls === countOutcomes(world),
    () => `${report.calls} calls, ${countOutcomes(world)} outcomes`,
  );
}

/**
 * Checks the invariants that the decision code asserts itself. Their counts
 * cover the whole process, so those from before the episode are subtracted.
 */
function checkInvariants(
  world: World,
  before: ReadonlyMap<string, number>,
): void {
  for (const [name, total] of getViolationCounts()) {
    const count = total - (before.get(name) ?? 0);
    world.check(name, count === 0, () => `violated ${count} times`);
  }
}

function countOutcomes(world: World): number {
  return world.events.filter((event) => event.type === "complete").length;
}
