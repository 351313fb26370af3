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

/** What applying a declaration would change. */
export type Plan = {
  /** Version in force, 0 before the first. */
  version: number;
  hash: string;
  changes: Change[];
};

/** Creates the plan from what is in force to what is declared. */
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
        `Version ${plan.version} is in force; ${plan.changes.length} ` +
        `changes would be applied`,
      ].join("\n"),
  };
}
