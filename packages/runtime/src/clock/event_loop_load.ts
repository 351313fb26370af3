import {
  type EventLoopUtilization,
  performance,
  type UVMetrics,
} from "node:perf_hooks";
import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";

/** What the event loop did in a period. */
export type EventLoopReport = {
  /** Share of the period in which it did not wait for events, 0 to 1. */
  busyShare: number;
  /** Turns; each accepts one connection per listener at most. */
  turns: number;
  /** Events that it had to handle. */
  events: number;
};

/** Options of a measurement of the event loop's load. */
export type EventLoopLoadOptions = {
  timers: TimerService;
  /** Called after each period in which the event loop was busy. */
  onBusy: (report: EventLoopReport) => void;
};

/** Measures how busy the event loop is and how many turns it takes. */
export class EventLoopLoad {
  readonly #options: EventLoopLoadOptions;
  readonly #subscription: TimerSubscription;
  #utilization: EventLoopUtilization;
  #metrics: UVMetrics;

  private constructor(options: EventLoopLoadOptions) {
    this.#options = options;
    this.#utilization = performance.eventLoopUtilization();
    this.#metrics = getLoopMetrics();
    this.#subscription = options.timers.subscribe(
      periodMs,
      () => this.#measure(),
    );
  }

  /** Creates a measurement, which runs until it is disposed of. */
  static create(options: EventLoopLoadOptions): EventLoopLoad {
    return new EventLoopLoad(options);
  }

  [Symbol.dispose](): void {
    this.#subscription[Symbol.dispose]();
  }

  #measure(): void {
    const utilization = performance.eventLoopUtilization();
    const metrics = getLoopMetrics();
    const { utilization: busyShare } = performance.eventLoopUtilization(
      utilization,
      this.#utilization,
    );
    if (busyShare >= minBusyShare) {
      this.#options.onBusy({
        busyShare,
        turns: metrics.loopCount - this.#metrics.loopCount,
        events: metrics.events - this.#metrics.events,
      });
    }
    this.#utilization = utilization;
    this.#metrics = metrics;
  }
}

function getLoopMetrics(): UVMetrics {
  return performance.nodeTiming.uvMetricsInfo;
}

/** Period of reports. */
const periodMs = 1000;

/** Least share of busy time that is reported. */
const minBusyShare = 0.9;
