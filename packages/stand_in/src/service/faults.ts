import { z } from "zod";

const count = z.number().int().nonnegative().default(0);

/** Schema of the faults that a service shows, each for its next calls. */
export const serviceFaultsSchema = z.strictObject({
  /** Calls that never answer and have no effect. */
  hangsBeforeEffect: count,
  /** Calls that have their effect and never answer. */
  hangsAfterEffect: count,
  /** Calls whose connection closes before their effect. */
  failuresBeforeEffect: count,
  /** Calls whose connection closes after their effect. */
  failuresAfterEffect: count,
});

/** Faults that a service shows. */
export type ServiceFaults = z.output<typeof serviceFaultsSchema>;

/** Takes one fault if any is left. */
export function takeFault(
  faults: ServiceFaults,
  name: keyof ServiceFaults,
): boolean {
  if (faults[name] === 0) return false;
  faults[name] -= 1;
  return true;
}
