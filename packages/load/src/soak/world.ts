/** State that all simulated processes of an episode share. */
import {
  createSeededRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import { VirtualTimerService } from "@jasminetide/core/timers";
import type { HistoryEvent } from "../history/mod.ts";
import type { Fault, FaultKind } from "./faults.ts";

/** Clock, random source, faults, history and violations of one episode. */
export class World {
  readonly timers = VirtualTimerService.create();
  readonly random: RandomSource;
  readonly faults: readonly Fault[];
  readonly events: HistoryEvent[] = [];
  readonly violations: string[] = [];
  readonly #counts = new Map<string, number>();

  private constructor(options: { seed: number; faults: readonly Fault[] }) {
    this.random = createSeededRandom(options.seed);
    this.faults = options.faults;
  }

  /** Creates a world at time 0. */
  static create(options: { seed: number; faults: readonly Fault[] }): World {
    return new World(options);
  }

  /** Virtual time in milliseconds. */
  nowMs(): number {
    return this.timers.nowMs();
  }

  /** Waits in virtual time. */
  wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.timers.schedule(durationMs, () => resolve());
    });
  }

  /** Lists the faults of a kind that are active now. */
  listActive(kind: FaultKind): Fault[] {
    const nowMs = this.nowMs();
    return this.faults.filter((fault) =>
      fault.kind === kind && fault.startMs <= nowMs &&
      nowMs < fault.startMs + fault.durationMs
    );
  }

  /** Whether a fault of a kind is active now. */
  isActive(kind: FaultKind): boolean {
    return this.listActive(kind).length > 0;
  }

  /** Whether a fault of a kind is active at some time in the next `durationMs`. */
  willBeActiveWithin(kind: FaultKind, durationMs: number): boolean {
    const nowMs = this.nowMs();
    return this.faults.some((fault) =>
      fault.kind === kind && fault.startMs < nowMs + durationMs &&
      nowMs < fault.startMs + fault.durationMs
    );
  }

  /** Draws true with the given probability. */
  drawBoolean(probability: number): boolean {
    return this.random.getFloat() < probability;
  }

  /** Increments a counter of the report. */
  count(name: string): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
  }

  /** Counters of the report by name. */
  get counts(): ReadonlyMap<string, number> {
    return this.#counts;
  }

  /** Checks an invariant of the whole fleet and records a violation. */
  check(name: string, holds: boolean, describe: () => string): void {
    this.count(`checked ${name}`);
    if (!holds) {
      this.violations.push(`${name} at ${this.nowMs()} ms: ${describe()}`);
    }
  }

  /**
   * Runs until `endMs`, one timer handler at a time. Before the next handler,
   * all promise callbacks of the last one have run.
   */
  async run(endMs: number): Promise<void> {
    await drainPromises();
    while (this.timers.advanceToNext(endMs)) await drainPromises();
  }
}

/** Runs all promise callbacks that are due. */
function drainPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
