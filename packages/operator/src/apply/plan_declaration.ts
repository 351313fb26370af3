import {
  type AcceptedConfiguration,
  type Configuration,
  hashConfiguration,
} from "@jasminetide/core/configuration";
import { exitCodes } from "@jasminetide/runtime/process";
import {
  type Change,
  compareDeclarations,
  formatChanges,
  formatHashes,
} from "../changes/mod.ts";
import type { CommandResult } from "../output/mod.ts";

/** The changes that applying a declaration would make. */
export type Plan = {
  /** Current version, 0 before the first. */
  version: number;
  hash: string;
  changes: Change[];
};

/** Creates the plan that leads from the current declaration to another. */
export function createPlan(
  accepted: AcceptedConfiguration | undefined,
  body: Configuration,
): Plan {
  return {
    version: accepted?.version ?? 0,
    hash: hashConfiguration(body),
    changes: compareDeclarations(accepted?.body, body),
  };
}

/** Reports a plan. */
export function reportPlan(plan: Plan): CommandResult {
  return {
    exitCode: exitCodes.ok,
    document: { ...plan, changes: formatHashes(plan.changes) },
    formatText: (style) =>
      [
        formatChanges(plan.changes, style),
        "",
        `Version ${plan.version} is current; ${plan.changes.length} ` +
        `changes would be applied`,
      ].join("\n"),
  };
}
