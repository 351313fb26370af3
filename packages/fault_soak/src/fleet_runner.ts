/** Runners of a fleet under test: their links and processes. */
import { join } from "node:path";
import type { RandomSource } from "@jasminetide/core/random";
import { coldMs } from "./failure_domains.ts";
import type { History, RunnerEvent } from "./history.ts";
import type { HostedLink, LinkHost } from "./link_host.ts";
import { ManagedProcess } from "./managed_process.ts";
import { reservePort } from "./ports.ts";
import type { EpisodeSwitches } from "./episode_switches.ts";
import type { SoakPrograms } from "./wire.ts";

/** A runner with the link between gateways and its process. */
export type SoakRunner = {
  index: number;
  link: HostedLink;
  port: number;
  service: string;
  /** Version of the software of the current process. */
  softwareVersion: string;
  /** Id of the current process; every restart gives a new one. */
  id: string;
  process: ManagedProcess;
  /** Number of times that its process was restarted. */
  incarnation: number;
  /** Whether its entry in the store states that it drains. */
  isDraining: boolean;
  /** Settles when the restart in progress is complete. */
  restart: Promise<void> | undefined;
};

/** Options of a runner. */
export type FleetRunnerOptions = {
  programs: SoakPrograms;
  links: LinkHost;
  random: RandomSource;
  history: History;
  switches: EpisodeSwitches;
  /** Folder for logs. */
  folder: string;
};

/** Starts the link and the process of a runner. */
export async function createRunner(
  index: number,
  options: FleetRunnerOptions,
): Promise<SoakRunner> {
  const port = await reservePort(options.random);
  const link = await options.links.createLink(`127.0.0.1:${port}`);
  const base = {
    index,
    link,
    port,
    service: index % 2 === 0 ? "engine" : "desk",
    softwareVersion: chooseSoftwareVersion({ index, incarnation: 0 }, options),
    incarnation: 0,
    isDraining: false,
    restart: undefined,
  };
  const id = formatRunnerId(base);
  return { ...base, id, process: startRunner({ ...base, id }, options) };
}

/** Starts a process of a runner. */
export function startRunner(
  runner: Pick<
    SoakRunner,
    "id" | "incarnation" | "index" | "port" | "service" | "softwareVersion"
  >,
  { folder, history, programs, switches }: Omit<FleetRunnerOptions, "links">,
): ManagedProcess {
  return ManagedProcess.create({
    name: runner.id,
    script: programs.runnerScript,
    args: [
      runner.id,
      runner.service,
      String(runner.port),
      String(switches.hasUnframedAnswers),
      runner.softwareVersion,
      String(getColdMs(runner, switches)),
    ],
    logFile: join(folder, `runner-${runner.index}.log`),
    onLine: (line) =>
      history.runnerEvents.push(JSON.parse(line) as RunnerEvent),
    onExit: () => history.exits.push({ runner: runner.id, atMs: Date.now() }),
  });
}

/** Gets the time for which a process is cold; the first ones never are. */
export function getColdMs(
  { incarnation }: Pick<SoakRunner, "incarnation">,
  { hasDomainFaults }: Pick<EpisodeSwitches, "hasDomainFaults">,
): number {
  return hasDomainFaults && incarnation > 0 ? coldMs : 0;
}

/**
 * Chooses the version of a runner's next process. With several versions, half of
 * the runners of a service begin with either, and each restart changes it.
 */
export function chooseSoftwareVersion(
  { incarnation, index }: Pick<SoakRunner, "incarnation" | "index">,
  { switches }: Pick<FleetRunnerOptions, "switches">,
): string {
  if (!switches.hasSoftwareVersions) return "v1";
  return `v${1 + (Math.floor(index / 2) + incarnation) % 2}`;
}

/** Formats the id of a runner's current process. */
export function formatRunnerId(
  { incarnation, index }: Pick<SoakRunner, "incarnation" | "index">,
): string {
  return `runner-${index}-${incarnation}`;
}
