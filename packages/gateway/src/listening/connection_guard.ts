import { MemoryBudget } from "@jasminetide/core/limits";
import type { TimerService } from "@jasminetide/core/timers";
import { ReadScheduler } from "@jasminetide/runtime/clock";
import type { Logger } from "@jasminetide/runtime/logging";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { CloseReason } from "./caller_connection.ts";
import { CallerConnections } from "./caller_connections.ts";

/** Options of a guard. */
export type ConnectionGuardOptions = {
  timers: TimerService;
  logger: Logger;
  metrics: GatewayMetrics;
  /** Memory for what all connections hold. */
  heldBytes: number;
};

/** Limits of one listener. */
export type ListenerLimits = {
  maxConnections: number;
  countsRequests: boolean;
  getUnreadLimitMs: () => number;
};

/** What the connections to all listeners of a process share. */
export class ConnectionGuard {
  readonly #options: ConnectionGuardOptions;
  readonly #memory: MemoryBudget;
  readonly #turns = ReadScheduler.create();
  #closed: Partial<Record<CloseReason, number>> = {};
  #loggedAtMs = -Infinity;

  private constructor(options: ConnectionGuardOptions) {
    this.#options = options;
    this.#memory = MemoryBudget.create({ limitBytes: options.heldBytes });
  }

  /** Creates a guard of listeners that have no connections yet. */
  static create(options: ConnectionGuardOptions): ConnectionGuard {
    return new ConnectionGuard(options);
  }

  /** Memory that connections hold. */
  get heldBytes(): number {
    return this.#memory.usedBytes;
  }

  /** Creates the connections of one listener. */
  createConnections(limits: ListenerLimits): CallerConnections {
    return CallerConnections.create({
      ...limits,
      timers: this.#options.timers,
      memory: this.#memory,
      turns: this.#turns,
      onClosed: (reason) => this.#recordClosed(reason),
    });
  }

  /** Counts a closed connection, and logs what was closed now and then. */
  #recordClosed(reason: CloseReason): void {
    const { logger, metrics, timers } = this.#options;
    metrics.countClosedConnection(reason);
    this.#closed[reason] = (this.#closed[reason] ?? 0) + 1;
    const nowMs = timers.nowMs();
    if (nowMs - this.#loggedAtMs < logPeriodMs) return;
    this.#loggedAtMs = nowMs;
    logger.warn("connections-closed", {
      ...this.#closed,
      heldBytes: this.heldBytes,
    });
    this.#closed = {};
  }
}

/** Shortest time between two log lines. */
const logPeriodMs = 1000;
