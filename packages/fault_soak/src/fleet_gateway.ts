/** Gateways of a fleet under test: their links, settings and processes. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout } from "node:timers/promises";
import type { RandomSource } from "@jasminetide/core/random";
import type { EpisodeSwitches } from "./episode_switches.ts";
import { evacuationLimitMs } from "./failure_domains.ts";
import type { HostedLink, LinkHost } from "./link_host.ts";
import { ManagedProcess } from "./managed_process.ts";
import { reservePort } from "./ports.ts";
import type { SoakObjects, SoakPrograms } from "./wire.ts";

/** A gateway with its links to callers, to the store and from other gateways. */
export type SoakGateway = {
  index: number;
  callerLink: HostedLink;
  storeLink: HostedLink;
  /** By which the other gateways reach it. */
  peerLink: HostedLink;
  readinessAddress: string;
  settingsFile: string;
  process: ManagedProcess;
  /** Number of times that its process was restarted. */
  incarnation: number;
};

/** Options of a gateway. */
export type FleetGatewayOptions = {
  programs: SoakPrograms;
  links: LinkHost;
  random: RandomSource;
  /** Folder for settings and logs. */
  folder: string;
  storeAddress: string;
  objects: SoakObjects;
  switches: EpisodeSwitches;
};

/** Retry budget in the settings of every gateway. */
export const retryBudget = { ratio: 0.2, slack: 10, windowSeconds: 10 };

const graceSeconds = 5;

const startLimitMs = 15_000;
const pollMs = 25;

/**
 * Creates settings with which gateways tell each other of loads and prefixes, at
 * the UDP port of the same number, and refuse what would wait too long.
 */
function createSharing(peerAddress: string) {
  return {
    datagrams: { address: peerAddress },
    admission: { limitsWait: true },
  };
}

/** Writes the settings of a gateway and starts its links and process. */
export async function createGateway(
  index: number,
  options: FleetGatewayOptions,
): Promise<SoakGateway> {
  const { folder, links, objects, random, storeAddress, switches } = options;
  const reserveAddress = async () => `127.0.0.1:${await reservePort(random)}`;
  const callerAddress = await reserveAddress();
  const readinessAddress = await reserveAddress();
  const peerAddress = await reserveAddress();
  const callerLink = await links.createLink(callerAddress);
  const storeLink = await links.createLink(storeAddress);
  const peerLink = await links.createLink(peerAddress);
  objects.setPeerAddress(formatName(index), peerLink.address);
  const settingsFile = join(folder, `gateway-${index}.jsonc`);
  writeFileSync(
    settingsFile,
    JSON.stringify({
      name: formatName(index),
      failureDomain: `domain-${index % 2}`,
      callerAddress,
      readinessAddress,
      peerAddress,
      platform: {
        address: storeLink.address,
        ...(switches.hasDomainFaults ? { evacuationLimitMs } : {}),
      },
      ...(switches.hasDomainFaults ? createSharing(peerAddress) : {}),
      stop: { noticeMs: 800, graceSeconds },
      repeats: retryBudget,
      log: { sampleShare: 1, linesPerSecond: 2000 },
    }),
  );
  const gateway = {
    index,
    callerLink,
    storeLink,
    peerLink,
    readinessAddress,
    settingsFile,
    incarnation: 0,
  };
  return { ...gateway, process: startGateway(gateway, options) };
}

/** Starts a process of a gateway. */
export function startGateway(
  gateway: Pick<SoakGateway, "index" | "settingsFile">,
  { folder, programs }: Pick<FleetGatewayOptions, "folder" | "programs">,
): ManagedProcess {
  const { script, settingsVariable } = programs.gateway;
  const name = formatName(gateway.index);
  return ManagedProcess.create({
    name,
    script,
    environment: { [settingsVariable]: gateway.settingsFile },
    logFile: join(folder, `${name}.log`),
  });
}

function formatName(index: number): string {
  return `gateway-${index}`;
}

/** Waits until a gateway reports at its address that it is ready. */
export async function waitUntilReady(
  { index, readinessAddress }: SoakGateway,
): Promise<void> {
  const endMs = Date.now() + startLimitMs;
  while (!await isReady(readinessAddress)) {
    if (Date.now() > endMs) {
      throw new Error(
        `gateway ${index} was not ready within ${startLimitMs} ms`,
      );
    }
    await setTimeout(pollMs);
  }
}

async function isReady(address: string): Promise<boolean> {
  try {
    const answer = await fetch(`http://${address}/`, {
      signal: AbortSignal.timeout(1000),
    });
    await answer.text();
    return answer.status === 200;
  } catch {
    // Not listening yet: the caller polls until the start limit.
    return false;
  }
}
