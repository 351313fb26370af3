import { AppError, normalizeError } from "@jasminetide/core/results";
import type { HostRecord, PlatformClient } from "@jasminetide/runtime/platform";
import { exitCodes } from "@jasminetide/runtime/process";
import { z } from "zod";
import type { CommandResult } from "../output/mod.ts";

/** Kind of the platform's objects that hold drain intents. */
export const drainKind = "drains";

/** Schema of an operator's intent that a host or runner drains, or no more. */
export const drainIntentSchema = z.object({
  target: z.enum(["host", "runner"]),
  name: z.string().min(1),
  state: z.enum(["draining", "cancelled"]),
  reason: z.string().min(1),
  requestedAtMs: z.number(),
});

/** An operator's intent that a host or runner drains, or no longer. */
export type DrainIntent = z.output<typeof drainIntentSchema>;

/** What is asked for. */
export type DrainRequest = {
  name: string;
  reason: string;
  state: DrainIntent["state"];
  nowMs: number;
};

/**
 * Writes a drain intent for a host or runner of the host list.
 *
 * @throws AppError `notFound`, or `invalidRequest` for an empty reason.
 */
export async function writeDrainIntent(
  platform: PlatformClient,
  request: DrainRequest,
): Promise<DrainIntent> {
  const reason = request.reason.trim();
  if (reason === "") {
    throw AppError.create("invalidRequest", "Reason is empty, expected why");
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

/** Writing the same intent again is harmless, so a lost answer is retried. */
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
          : { version: stored.version },
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
        ? `The ${intent.target} ${intent.name} is asked to drain: ` +
          intent.reason
        : `The drain of ${intent.target} ${intent.name} is cancelled: ` +
          intent.reason,
  };
}
