import { MemoryBudget } from "@jasminetide/core/limits";

/** Memory that requests and answers in flight may use. */
export type MemoryBudgets = {
  /** Memory for answers of runners that are not complete yet. */
  answerMemory: MemoryBudget;
  /** Memory for the bodies of callers' requests. */
  bodyMemory: MemoryBudget;
};

/** Creates the budgets of a gateway. */
export function createMemoryBudgets(): MemoryBudgets {
  return {
    answerMemory: MemoryBudget.create({ limitBytes: maxAnswersBytes }),
    bodyMemory: MemoryBudget.create({ limitBytes: maxBodiesBytes }),
  };
}

/** Each is a dozen of the largest answers or bodies. */
const maxAnswersBytes = 48 * 1024 * 1024;
const maxBodiesBytes = 48 * 1024 * 1024;
