import { exitCodes } from "@jasminetide/runtime/process";
import { formatChanges, shortenHashes } from "../changes/mod.ts";
import type { CommandResult } from "../output/mod.ts";
import type { ApplyOutcome } from "./apply_declaration.ts";

/** Reports what became of an attempt to apply a declaration. */
export function reportApply(outcome: ApplyOutcome): CommandResult {
  switch (outcome.type) {
    case "applied":
      return {
        exitCode: exitCodes.ok,
        document: { ...outcome, changes: shortenHashes(outcome.changes) },
        formatText: (style) =>
          `${formatChanges(outcome.changes, style)}\n\n` +
          style.green(`Applied as version ${outcome.version}`),
      };
    case "unchanged":
      return {
        exitCode: exitCodes.ok,
        document: outcome,
        formatText: () =>
          `Version ${outcome.version} is in force and equal; nothing to apply`,
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
    document: shortenHashes(outcome),
    formatText: (style) =>
      [
        style.red(
          `Conflict: this edit starts from version ${outcome.baseVersion}, ` +
            `but version ${outcome.version} is in force`,
        ),
        "Nothing was written, and the file is as it was.",
        ...(outcome.changedByOthers.length === 0 ? [] : [
          "",
          "Changed by others since:",
          formatChanges(outcome.changedByOthers, style),
        ]),
        "",
        "What this file would change in the version in force:",
        formatChanges(outcome.changes, style),
        "",
        'Take over what should stay, then run "jasminetide plan" and ' +
        '"jasminetide apply" again',
      ].join("\n"),
  };
}
