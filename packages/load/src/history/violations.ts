/** Names of the checks that a history undergoes. */
export const checkNames = [
  "well-formed",
  "at-most-once",
  "not-run-promise",
  "own-whole-answer",
  "configuration-never-reverts",
  "money-key-linearizable",
] as const;

/** Name of a check. */
export type CheckName = (typeof checkNames)[number];

/** A violation that a check has found. */
export type Violation = {
  check: CheckName;
  /** Id of the request, key or process that is affected. */
  subject: string;
  detail: string;
};
