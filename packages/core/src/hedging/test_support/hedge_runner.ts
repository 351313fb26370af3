import type { TimerService, TimerSubscription } from "../../timers/mod.ts";
import { hash32 } from "../../hashing/mod.ts";
import {
  type PoolRunner,
  type ReportedLoad,
  RunnerHealth,
  RunnerLoad,
} from "../../pools/mod.ts";

/** A request at a model of a runner. */
export type RunnerJob = {
  workMs: number;
  onDone: (load: ReportedLoad) => void;
  onRefused: (load: ReportedLoad) => void;
};

/** Cancels a request; its slot is free at once. */
export type CancelJob = () => void;

/** Number of runners in a replay. */
export const runnerCount = 10;

/** Failure domains of the runners, in turn. */
export const failureDomains = ["a", "b", "c"];

const runnerSlots = 6;

const maxWaiting = 24;

/** A model of a runner with slots and a queue. */
export class HedgeRunner {
  readonly #timers: TimerService;
  readonly #running = new Map<RunnerJob, TimerSubscription>();
  #queue: RunnerJob[] = [];
  /** Factor on the work of requests that begin now. */
  slowness = 1;
  /** Whether nothing gets to the runner or from it. */
  isLost = false;
  /** Work done, in vain or not. */
  busyMs = 0;

  private constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /** Creates a runner without requests. */
  static create(timers: TimerService): HedgeRunner {
    return new HedgeRunner(timers);
  }

  /** Runs or queues a request, or refuses it. */
  accept(job: RunnerJob): CancelJob {
    if (this.isLost) return () => {};
    if (this.#running.size < runnerSlots) this.#begin(job);
    else if (this.#queue.length < maxWaiting) this.#queue.push(job);
    else job.onRefused(this.#describe());
    return () => this.#cancel(job);
  }

  #begin(job: RunnerJob): void {
    const startedAtMs = this.#timers.nowMs();
    const timer = this.#timers.schedule(job.workMs * this.slowness, () => {
      this.#end(job);
      if (!this.isLost) job.onDone(this.#describe());
    });
    this.#running.set(job, {
      [Symbol.dispose]: () => {
        timer[Symbol.dispose]();
        this.busyMs += this.#timers.nowMs() - startedAtMs;
      },
    });
  }

  #end(job: RunnerJob): void {
    this.#running.get(job)?.[Symbol.dispose]();
    this.#running.delete(job);
    const next = this.#queue.shift();
    if (next !== undefined) this.#begin(next);
  }

  #cancel(job: RunnerJob): void {
    if (this.#running.has(job)) this.#end(job);
    else this.#queue = this.#queue.filter((waiting) => waiting !== job);
  }

  #describe(): ReportedLoad {
    return {
      running: this.#running.size,
      waiting: this.#queue.length,
      slots: runnerSlots,
    };
  }
}

/** Creates what a router knows of the runners at its start. */
export function createPoolRunners(): PoolRunner[] {
  return Array.from({ length: runnerCount }, (_, index) => ({
    id: `runner-${index}`,
    idHash: hash32(`runner-${index}`),
    listedAtMs: 0,
    failureDomain: failureDomains[index % failureDomains.length],
    slots: runnerSlots,
    load: RunnerLoad.create(),
    health: RunnerHealth.create(),
  }));
}
