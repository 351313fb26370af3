/** Names of the checks of a history. */
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

/** A broken promise. */
export type Violation = {
  check: CheckName;
  /** Request, key or process that it is about. */
  subject: string;
  detail: string;
};
