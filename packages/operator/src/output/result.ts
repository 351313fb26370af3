import type { exitCodes } from "@jasminetide/runtime/process";
import type { Style } from "./table.ts";

/** Exit code of a command. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** Outcome of a command, for machines and for people. */
export type CommandResult = {
  exitCode: ExitCode;
  /** What `--json` prints. */
  document: unknown;
  /** Formats the same facts for people. */
  formatText: (style: Style) => string;
};

/** Where a program writes. */
export type Output = {
  write(text: string): void;
  writeError(text: string): void;
  /** Whether people read along, so that colours help. */
  isTerminal: boolean;
};
