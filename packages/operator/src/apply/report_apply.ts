import { exitCodes } from "@jasminetide/runtime/process";
import { formatChanges, formatHashes } from "../changes/mod.ts";
import type { CommandResult } from "../output/mod.ts";
import type { ApplyOutcome } from "./apply_declaration.ts";

/** Reports the result of an attempt to apply a declaration. */
export function reportApply(outcome: ApplyOutcome): CommandResult {
  switch (outcome.type) {
    case "applied":
      return {
        exitCode: exitCodes.ok,
        document: { ...outcome, changes: formatHashes(outcome.changes) },
        formatText: (style) =>
          `${formatChanges(outcome.changes, style)}\n\n` +
          style.green(`Applied as version ${outcome.version}`),
      };
    case "unchanged":
      return {
        exitCode: exitCodes.ok,
        document: outcome,
        formatText: () =>
          `Version ${outcome.version} is current and equal; nothing to apply`,
      };
    case "conflict":
      return reportConflict(outcome);
  }
}

function reportConflict(
  outcome: Extract<ApplyOutcome, { type: "conflict" }>,
): CommandResult {
  return {
    exitCode: exitCodes.conflict,
    document: formatHashes(outcome),
    formatText: (style) =>
      [
        style.red(formatCause(outcome)),
        "Nothing was written; the file is unchanged.",
        ...(outcome.changedByOthers.length === 0 ? [] : [
          "",
          "Changes by others since:",
          formatChanges(outcome.changedByOthers, style),
        ]),
        "",
        "Changes that this file would make to the current version:",
        formatChanges(outcome.changes, style),
        "",
        "Merge the changes to keep into the file, then run " +
        `"jasminetide plan" and "jasminetide apply" again, or apply with ` +
        `--base ${outcome.version}`,
      ].join("\n"),
  };
}

function formatCause(
  outcome: Extract<ApplyOutcome, { type: "conflict" }>,
): string {
  if (outcome.baseVersion === 0) {
    return `Conflict: this file would revert recent changes by others ` +
      `up to version ${outcome.version}`;
  }
  return `Conflict: this edit is based on version ${outcome.baseVersion}, ` +
    `but version ${outcome.version} is current`;
}
