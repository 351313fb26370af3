import { AppError, normalizeError } from "@jasminetide/core/results";
import {
  type DrainIntent,
  drainKind,
  type HostRecord,
  type PlatformClient,
} from "@jasminetide/runtime/platform";
import { exitCodes } from "@jasminetide/runtime/process";
import type { CommandResult } from "../output/mod.ts";

/** A request to start or cancel a drain. */
export type DrainRequest = {
  name: string;
  reason: string;
  state: DrainIntent["state"];
  nowMs: number;
};

/**
 * Writes a drain intent for a host or runner of the host list.
 *
 * @throws AppError `notFound`, or `invalidRequest` if the reason is empty.
 */
export async function writeDrainIntent(
  platform: PlatformClient,
  request: DrainRequest,
): Promise<DrainIntent> {
  const reason = request.reason.trim();
  if (reason === "") {
    throw AppError.create(
      "invalidRequest",
      "Reason is empty, expected a reason for the drain",
    );
  }
  const intent: DrainIntent = {
    target: findTarget(request.name, await platform.loadHosts()),
    name: request.name,
    state: request.state,
    reason,
    requestedAtMs: request.nowMs,
  };
  await putIntent(platform, intent);
  return intent;
}

function findTarget(
  name: string,
  hosts: readonly HostRecord[],
): DrainIntent["target"] {
  if (hosts.some((host) => host.id === name)) return "host";
  const isRunner = hosts.some((host) =>
    host.processes.some((process) =>
      process.type === "sidecar" && process.runner === name
    )
  );
  if (isRunner) return "runner";
  throw AppError.create("notFound", `No host or runner "${name}"`);
}

const maxAttempts = 4;

/** Writes an intent; the write is idempotent, so a lost answer is retried. */
async function putIntent(
  platform: PlatformClient,
  intent: DrainIntent,
): Promise<void> {
  const object = { kind: drainKind, name: `${intent.target}-${intent.name}` };
  const value = JSON.stringify(intent);
  for (let attempt = 1;; attempt += 1) {
    try {
      const stored = await platform.get(object);
      if (stored?.value === value) return;
      await platform.put(object, {
        value,
        condition: stored === undefined
          ? "absent"
          : { position: stored.position },
      });
      return;
    } catch (thrown) {
      const { result } = normalizeError(thrown);
      const canRetry = result === "platformUnavailable" ||
        result === "versionConflict";
      if (!canRetry || attempt === maxAttempts) throw thrown;
    }
  }
}

/** Reports a written intent. */
export function reportDrain(intent: DrainIntent): CommandResult {
  return {
    exitCode: exitCodes.ok,
    document: intent,
    formatText: () =>
      intent.state === "draining"
        ? `Drain of ${intent.target} ${intent.name} requested: ` +
          intent.reason
        : `Drain of ${intent.target} ${intent.name} cancelled: ` +
          intent.reason,
  };
}
