import { AppError } from "./errors.ts";

/** Called for each invariant violation, with the name and a description. */
export type ViolationHandler = (name: string, detail: string) => void;

let handleViolation: ViolationHandler = throwViolation;
const violationCounts = new Map<string, number>();

function throwViolation(name: string, detail: string): void {
  throw AppError.create("invariantViolated", `${name}: ${detail}`);
}

/**
 * Sets the handler of invariant violations until disposed. Tests keep the
 * default, which throws; production processes count and log violations.
 */
export function setViolationHandler(handler: ViolationHandler): Disposable {
  const before = handleViolation;
  handleViolation = handler;
  return {
    [Symbol.dispose]: () => {
      handleViolation = before;
    },
  };
}

/** Counts and reports a violation unless an invariant holds. */
export function assertInvariant(
  holds: boolean,
  name: string,
  describe: () => string,
): void {
  if (holds) return;
  violationCounts.set(name, (violationCounts.get(name) ?? 0) + 1);
  handleViolation(name, describe());
}

/** Gets the number of violations by invariant since the process started. */
export function getViolationCounts(): ReadonlyMap<string, number> {
  return violationCounts;
}

/** Marks a branch that the type checker proves unreachable. */
export function assertNever(value: never): never {
  throw AppError.create(
    "invariantViolated",
    `Unexpected variant ${JSON.stringify(value)}`,
  );
}
