import type { exitCodes } from "@jasminetide/runtime/process";
import type { Style } from "./table.ts";

/** Exit code of a command. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** Result of a command, as JSON and as text. */
export type CommandResult = {
  exitCode: ExitCode;
  /** Value that `--json` prints. */
  document: unknown;
  /** Formats the same result as text. */
  formatText: (style: Style) => string;
};

/** Standard output and standard error of a program. */
export type Output = {
  write(text: string): void;
  writeError(text: string): void;
  /** Whether standard output is a terminal, so that text is coloured. */
  isTerminal: boolean;
};
