import { AppError } from "@jasminetide/core/results";
import type { HostRecord } from "@jasminetide/runtime/platform";
import { Agent, request } from "undici";

/** A process of the fleet, from the host list. */
export type ProcessEntry = {
  name: string;
  type: "router" | "sidecar";
  /** The sidecar's runner. */
  runner?: string;
  host: string;
  failureDomain: string;
  state: "live" | "leaving";
  controlAddress: string;
};

/** Lists the processes of the host list, sorted by name. */
export function listProcesses(hosts: readonly HostRecord[]): ProcessEntry[] {
  const entries = hosts.flatMap((host) =>
    host.processes.map((process) => ({
      name: process.name,
      type: process.type,
      ...(process.type === "sidecar" ? { runner: process.runner } : {}),
      host: host.id,
      failureDomain: host.failureDomain,
      state: host.state,
      controlAddress: process.controlAddress,
    }))
  );
  return entries.sort((left, right) => left.name < right.name ? -1 : 1);
}

const dumpTimeoutMs = 3000;

/** Credentials by which operators and processes authenticate each other. */
export type DumpOptions = {
  operatorKey: string;
  /** Certificate of the fleet's CA in PEM; without it, HTTP without TLS. */
  authority?: string;
};

/**
 * Fetches the dump of a process.
 *
 * @throws AppError `unauthorized`, or `runnerFailed` if there is no valid
 * answer.
 */
export async function fetchDump(
  controlAddress: string,
  options: DumpOptions,
): Promise<unknown> {
  const { statusCode, text } = await requestDump(controlAddress, options);
  if (statusCode === 401) {
    throw AppError.create(
      "unauthorized",
      `${controlAddress} refused the operators' key`,
    );
  }
  try {
    if (statusCode === 200) return removeSecrets(JSON.parse(text));
  } catch (error) {
    throw createFailure(
      controlAddress,
      "did not answer with valid JSON",
      error,
    );
  }
  throw createFailure(controlAddress, `answered ${statusCode}`);
}

async function requestDump(controlAddress: string, options: DumpOptions) {
  const { operatorKey, authority } = options;
  const scheme = authority === undefined ? "http" : "https";
  const dispatcher = authority === undefined
    ? undefined
    : new Agent({ connect: { ca: authority } });
  try {
    const answer = await request(`${scheme}://${controlAddress}/dump`, {
      ...(dispatcher === undefined ? {} : { dispatcher }),
      headers: { authorization: `Bearer ${operatorKey}` },
      signal: AbortSignal.timeout(dumpTimeoutMs),
    });
    return { statusCode: answer.statusCode, text: await answer.body.text() };
  } catch (error) {
    throw createFailure(controlAddress, "did not answer", error);
  } finally {
    await dispatcher?.destroy();
  }
}

function createFailure(address: string, detail: string, cause?: unknown) {
  return AppError.create("runnerFailed", `${address} ${detail}`, { cause });
}

const secretField = /^(operatorKey|keyHashes|operatorKeyHash|authorization)$/i;

/**
 * Removes fields that may hold a secret. Processes omit them from dumps, but
 * an older release may not.
 */
export function removeSecrets(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(removeSecrets);
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value)
      .filter(([name]) => !secretField.test(name))
      .map(([name, field]) => [name, removeSecrets(field)]),
  );
}
