import type { TimerService } from "@jasminetide/core/timers";
import type { ReadScheduler } from "@jasminetide/runtime/clock";
import type { IdleConnections } from "./idle_connections.ts";
import { RunnerConnection } from "./runner_connection.ts";

/** Options of a pool of connections to one runner. */
export type ConnectionPoolOptions = {
  address: string;
  timers: TimerService;
  reads: ReadScheduler;
  /** Idle connections to all runners; unlimited if absent. */
  allIdle?: IdleConnections;
};

/** Connections to one runner; the most recently used one is reused first. */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions;
  readonly #idle: RunnerConnection[] = [];
  #isClosing = false;

  private constructor(options: ConnectionPoolOptions) {
    this.#options = options;
  }

  /** Creates a pool without connections. */
  static create(options: ConnectionPoolOptions): ConnectionPool {
    return new ConnectionPool(options);
  }

  /**
   * Takes an idle connection from the pool if one is usable for a request of an
   * attempt: one that has not carried the attempt before, since its runner may
   * write the earlier answer once more.
   */
  takeIdle(attemptId: string): RunnerConnection | undefined {
    const nowMs = this.#options.timers.nowMs();
    const unusable = this.#idle.filter((each) => !each.isUsable(nowMs));
    for (const connection of unusable) {
      this.#remove(connection);
      connection.destroy();
    }
    const connection = this.#idle.findLast((each) =>
      !each.hasCarried(attemptId)
    );
    if (connection !== undefined) this.#remove(connection);
    return connection;
  }

  /**
   * Opens another connection.
   *
   * @throws AppError `runnerUnreachable`.
   */
  open(): Promise<RunnerConnection> {
    return RunnerConnection.open({
      ...this.#options,
      onClosed: (closed) => this.#remove(closed),
    });
  }

  /** Returns a connection to the pool. */
  release(connection: RunnerConnection): void {
    const nowMs = this.#options.timers.nowMs();
    if (this.#isClosing || !connection.isUsable(nowMs)) {
      connection.destroy();
      return;
    }
    this.#idle.push(connection);
    this.#options.allIdle?.add(connection);
  }

  /**
   * Closes connections that have been idle since a time. Used when a runner's
   * silence suggests that the network path was cut: connections from before the
   * cut stay silent forever.
   */
  closeIdleSince(timeMs: number): void {
    for (const connection of [...this.#idle]) {
      if (!connection.isIdleSince(timeMs)) continue;
      this.#remove(connection);
      connection.destroy();
    }
  }

  /** Closes idle connections now and the others when they are released. */
  close(): void {
    this.#isClosing = true;
    for (const connection of [...this.#idle]) {
      this.#remove(connection);
      connection.destroy();
    }
  }

  #remove(connection: RunnerConnection): void {
    this.#options.allIdle?.remove(connection);
    const index = this.#idle.indexOf(connection);
    if (index >= 0) this.#idle.splice(index, 1);
  }
}
