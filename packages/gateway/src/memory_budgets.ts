import { MemoryBudget } from "@jasminetide/core/limits";
import type { HostLimits } from "./host_limits.ts";

/** Memory that requests and answers in flight may use. */
export type MemoryBudgets = {
  /** Memory for answers of runners that are not complete yet. */
  answerMemory: MemoryBudget;
  /** Memory for the bodies of callers' requests. */
  bodyMemory: MemoryBudget;
};

/** Creates the budgets of a gateway. */
export function createMemoryBudgets(
  { answerBytes, bodyBytes }: Pick<HostLimits, "answerBytes" | "bodyBytes">,
): MemoryBudgets {
  return {
    answerMemory: MemoryBudget.create({ limitBytes: answerBytes }),
    bodyMemory: MemoryBudget.create({ limitBytes: bodyBytes }),
  };
}
