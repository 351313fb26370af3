import { z } from "zod";

const count = z.number().int().nonnegative().default(0);

/** Schema of the faults of a service: how many of its next calls have each. */
export const serviceFaultsSchema = z.strictObject({
  /** Calls that have no effect and are never answered. */
  hangsBeforeEffect: count,
  /** Calls that take effect and are never answered. */
  hangsAfterEffect: count,
  /** Calls whose connection closes before their effect. */
  failuresBeforeEffect: count,
  /** Calls whose connection closes after their effect. */
  failuresAfterEffect: count,
});

/** Number of remaining faults of a service, by type. */
export type ServiceFaults = z.output<typeof serviceFaultsSchema>;

/** Uses up one fault of a type; returns whether one was left. */
export function takeFault(
  faults: ServiceFaults,
  name: keyof ServiceFaults,
): boolean {
  if (faults[name] === 0) return false;
  faults[name] -= 1;
  return true;
}
