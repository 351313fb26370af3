/** Commands on the declaration: plan, apply, explain. */
import { command, number, option, optional, positional, string } from "cmd-ts";
import { AppError, normalizeError } from "@jasminetide/core/results";
import type { HostRecord, PlatformClient } from "@jasminetide/runtime/platform";
import {
  applyDeclaration,
  createPlan,
  loadBase,
  recordBase,
  reportApply,
  reportPlan,
} from "../apply/mod.ts";
import { loadDeclaration, loadDeclarationFile } from "../declaration/mod.ts";
import {
  explainSubject,
  findSubject,
  reportExplanation,
} from "../explain/mod.ts";
import type { Output } from "../output/mod.ts";
import { connectionFlags, fileFlag, jsonFlag } from "./flags.ts";
import { type CommandContext, runFleetCommand } from "./run_command.ts";

/** Creates `plan`. */
export function createPlanCommand(output: Output) {
  return command({
    name: "plan",
    description: "Show the changes that applying a declaration would make",
    examples: [{
      description: "Compare an edited declaration with the current one",
      command: "jasminetide plan --file fleet.jsonc",
    }],
    args: { ...jsonFlag, ...connectionFlags, ...fileFlag },
    handler: (flags) =>
      runFleetCommand(flags, output, async ({ connection, platform }) => {
        const { body } = await loadDeclarationFile(connection.fleetFile);
        const accepted = await loadDeclaration(platform);
        const { platformAddress } = connection;
        await recordBase(connection.fleetFile, { platformAddress, accepted });
        return reportPlan(createPlan(accepted, body));
      }),
  });
}

/** Creates `apply`. */
export function createApplyCommand(output: Output) {
  return command({
    name: "apply",
    description: "Make a declaration the current one, unless another editor " +
      "has applied a change (exit code 3)",
    examples: [
      {
        description: "Apply the changes shown by the last plan",
        command: "jasminetide apply --file fleet.jsonc",
      },
      {
        description: "Apply only on top of a given version, as in CI",
        command: "jasminetide apply --file fleet.jsonc --base 12",
      },
    ],
    args: {
      ...jsonFlag,
      ...connectionFlags,
      ...fileFlag,
      base: option({
        type: optional(number),
        long: "base",
        description:
          "Version that the edit is based on (default: the version " +
          "read by the last plan or apply of this file, else the current one)",
      }),
    },
    handler: (flags) =>
      runFleetCommand(
        flags,
        output,
        (context) => runApply(context, flags.base),
      ),
  });
}

async function runApply(
  { connection, platform }: CommandContext,
  baseVersion: number | undefined,
) {
  const { fleetFile, platformAddress } = connection;
  const declaration = await loadDeclarationFile(fleetFile);
  const base = await loadBase(fleetFile, platformAddress);
  const outcome = await applyDeclaration(platform, {
    ...declaration,
    nowMs: Date.now(),
    ...(baseVersion === undefined ? {} : { baseVersion }),
    ...(base === undefined ? {} : { base }),
  });
  if (outcome.type !== "conflict") {
    const accepted = await loadDeclaration(platform);
    await recordBase(fleetFile, { platformAddress, accepted });
  }
  return reportApply(outcome);
}

/** Creates `explain`. */
export function createExplainCommand(output: Output) {
  return command({
    name: "explain",
    description: "Explain each effective value of a workspace, runner, " +
      "service, model, host or class: its origin and reason",
    examples: [
      {
        description: "Explain the effective values of a service",
        command: "jasminetide explain deposit-ledger",
      },
      {
        description: "Select one of several subjects with the same name",
        command: "jasminetide explain model/assistant",
      },
      {
        description: "Explain a file that has not been applied yet",
        command: "jasminetide explain local --file fleet.jsonc",
      },
    ],
    args: {
      ...jsonFlag,
      ...connectionFlags,
      ...fileFlag,
      subject: positional({ type: string, displayName: "name" }),
    },
    handler: (flags) =>
      runFleetCommand(flags, output, async ({ connection, platform }) => {
        const source = flags.file === undefined
          ? await loadCurrent(platform)
          : await loadFromFile(connection.fleetFile);
        const hosts = await loadHosts(platform, flags.file !== undefined);
        const subject = findSubject(flags.subject, { ...source, hosts });
        return reportExplanation(explainSubject(subject, source));
      }),
  });
}

async function loadCurrent(platform: PlatformClient) {
  const accepted = await loadDeclaration(platform);
  if (accepted === undefined) {
    throw AppError.create("notFound", "No declaration has been applied");
  }
  return { configuration: accepted.body, version: accepted.version };
}

async function loadFromFile(file: string) {
  const { body } = await loadDeclarationFile(file);
  return { configuration: body, version: undefined };
}

/**
 * Loads the host list. If it is optional, an unavailable platform counts as no
 * hosts: a file can then be explained, except for its runners and hosts.
 */
async function loadHosts(
  platform: PlatformClient,
  isOptional: boolean,
): Promise<HostRecord[]> {
  try {
    return await platform.loadHosts();
  } catch (thrown) {
    const { result } = normalizeError(thrown);
    if (isOptional && result === "platformUnavailable") return [];
    throw thrown;
  }
}
