import { hash32 } from "../../hashing/mod.ts";

/** A recorded request with a prompt. */
export type CrashArrival = {
  atMs: number;
  /** Shared parts of its prompt. */
  partIds: string[];
  durationMs: number;
};

/** A recorded prompt, see the arrival lists of the pools. */
export type RecordedPrompt = {
  atMs: number;
  prefixId: string;
  events: number;
};

/** Options by which recorded prompts become arrivals. */
export type CrashArrivalOptions = {
  /** How often the list is repeated, one after the other. */
  repetitions: number;
  /** Every how many prompts one has the crashing part; 0 for none. */
  period: number;
  /** Time before which no prompt has it. */
  fromMs: number;
  crashingPart: string;
};

/** Creates arrivals: prompts of a base part and the recorded one. */
export function createCrashArrivals(
  prompts: readonly RecordedPrompt[],
  { crashingPart, fromMs, period, repetitions }: CrashArrivalOptions,
): CrashArrival[] {
  const lengthMs = prompts.at(-1)?.atMs ?? 0;
  const arrivals: CrashArrival[] = [];
  for (let repetition = 0; repetition < repetitions; repetition++) {
    for (const [index, prompt] of prompts.entries()) {
      const { events, prefixId } = prompt;
      const atMs = prompt.atMs + repetition * lengthMs;
      const base = `base-${hash32(prefixId) % baseCount}`;
      const isCrashing = period > 0 && index % period === 0 && atMs >= fromMs;
      arrivals.push({
        atMs,
        partIds: [base, ...(isCrashing ? [crashingPart] : []), prefixId],
        durationMs: events * eventMs,
      });
    }
  }
  return arrivals;
}

/** Number of base parts, which many prompts share. */
const baseCount = 6;

/** Time between two events of an answer. */
const eventMs = 40;
