import { hash32 } from "@jasminetide/core/hashing";
import {
  RunnerAvailability,
  RunnerHealth,
  RunnerLoad,
} from "@jasminetide/core/pools";
import type { TimerService } from "@jasminetide/core/timers";
import type { ReadScheduler } from "@jasminetide/runtime/clock";
import { ConnectionPool } from "./connection_pool.ts";
import type { IdleConnections } from "./idle_connections.ts";

/** The platform's record of one runner. */
export type RunnerRecord = {
  id: string;
  service: string;
  /** `ip:port` at which it accepts requests. */
  address: string;
  failureDomain: string;
  /** Number of requests that it runs at a time. */
  slots: number;
  /** Whether it accepts no new requests because it is about to leave. */
  isDraining: boolean;
  /** Start time of the runner's process; differs when an id is reused. */
  startedAtMs: number;
  /** Version of its software; empty if its entry names none. */
  softwareVersion: string;
  /** Number of the heartbeat with which it was written, from 0. */
  heartbeat: number;
  /** Time for which it was still cold when the entry was written. */
  coldLeftMs?: number;
};

/** Options of an upstream. */
export type UpstreamOptions = {
  timers: TimerService;
  /** Shares the event loop among the connections to all runners. */
  reads: ReadScheduler;
  /** Idle connections to all runners; unlimited if absent. */
  allIdle?: IdleConnections;
  /** What the same process has stated before; new if absent. */
  availability?: RunnerAvailability;
};

/** A runner with its load, health and connections at this router. */
export class Upstream {
  readonly load = RunnerLoad.create();
  readonly health = RunnerHealth.create();
  readonly availability: RunnerAvailability;
  readonly idHash: number;
  readonly listedAtMs: number;
  readonly connections: ConnectionPool;
  record: RunnerRecord;

  private constructor(record: RunnerRecord, options: UpstreamOptions) {
    const { availability = RunnerAvailability.create(), timers } = options;
    this.record = record;
    this.idHash = hash32(record.id);
    this.listedAtMs = timers.nowMs();
    this.availability = availability;
    this.connections = ConnectionPool.create({
      ...options,
      address: record.address,
    });
  }

  /** Creates a runner's entry, without connections. */
  static create(record: RunnerRecord, options: UpstreamOptions): Upstream {
    return new Upstream(record, options);
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
