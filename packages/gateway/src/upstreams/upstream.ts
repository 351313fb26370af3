import { RunnerHealth, RunnerLoad } from "@jasminetide/core/pools";
import type { TimerService } from "@jasminetide/core/timers";
import { ConnectionPool } from "./connection_pool.ts";

/** What the platform says of one runner. */
export type RunnerRecord = {
  id: string;
  service: string;
  /** `ip:port` at which it takes requests. */
  address: string;
  failureDomain: string;
  /** Requests that it runs at a time. */
  slots: number;
  /** Whether it takes no new requests because it is about to leave. */
  isDraining: boolean;
  /** Start of the runner's process; differs when an id is used again. */
  startedAtMs: number;
};

/** One runner as this router deals with it. */
export class Upstream {
  readonly load = RunnerLoad.create();
  readonly health = RunnerHealth.create();
  readonly connections: ConnectionPool;
  record: RunnerRecord;

  private constructor(record: RunnerRecord, timers: TimerService) {
    this.record = record;
    this.connections = ConnectionPool.create({
      address: record.address,
      timers,
    });
  }

  /** Creates a runner's entry, without connections. */
  static create(record: RunnerRecord, timers: TimerService): Upstream {
    return new Upstream(record, timers);
  }

  get id(): string {
    return this.record.id;
  }

  get failureDomain(): string {
    return this.record.failureDomain;
  }

  get slots(): number {
    return Math.max(1, this.record.slots);
  }
}
