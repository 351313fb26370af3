import { AppError } from "./errors.ts";

/** Called once for each broken invariant, with a short name and its detail. */
export type ViolationHandler = (name: string, detail: string) => void;

let handleViolation: ViolationHandler = throwViolation;
const violationCounts = new Map<string, number>();

function throwViolation(name: string, detail: string): void {
  throw AppError.create("invariantViolated", `${name}: ${detail}`);
}

/**
 * Sets what happens when an invariant is broken, until disposed. Tests keep the
 * default, which throws; processes in production count and log.
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

/** Checks an invariant that must always hold. */
export function assertInvariant(
  holds: boolean,
  name: string,
  describe: () => string,
): void {
  if (holds) return;
  violationCounts.set(name, (violationCounts.get(name) ?? 0) + 1);
  handleViolation(name, describe());
}

/** Broken invariants by name since the process began. */
export function getViolationCounts(): ReadonlyMap<string, number> {
  return violationCounts;
}

/** Marks a branch that the type system proves unreachable. */
export function assertNever(value: never): never {
  throw AppError.create(
    "invariantViolated",
    `Unexpected variant ${JSON.stringify(value)}`,
  );
}
