import type { TimerService } from "@jasminetide/core/timers";
import { RunnerConnection } from "./runner_connection.ts";

/** What a pool of connections to one runner needs. */
export type ConnectionPoolOptions = { address: string; timers: TimerService };

/** Connections to one runner; the one used last is used again first. */
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

  /** Takes an idle connection, if there is one that may be used. */
  takeIdle(): RunnerConnection | undefined {
    const nowMs = this.#options.timers.nowMs();
    let connection = this.#idle.pop();
    while (connection !== undefined && !connection.isUsable(nowMs)) {
      connection.destroy();
      connection = this.#idle.pop();
    }
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
      onClosed: (closed) => this.#forget(closed),
    });
  }

  /** Gives back a connection whose answer is complete. */
  release(connection: RunnerConnection): void {
    const nowMs = this.#options.timers.nowMs();
    if (this.#isClosing || !connection.isUsable(nowMs)) connection.destroy();
    else this.#idle.push(connection);
  }

  /**
   * Closes connections that lie idle since a time, as when a silence says that
   * the way to the runner was cut: what was cut stays silent for ever.
   */
  closeIdleSince(timeMs: number): void {
    for (const connection of [...this.#idle]) {
      if (!connection.isIdleSince(timeMs)) continue;
      this.#forget(connection);
      connection.destroy();
    }
  }

  /** Closes idle connections now and the others as they are given back. */
  close(): void {
    this.#isClosing = true;
    for (const connection of this.#idle.splice(0)) connection.destroy();
  }

  #forget(connection: RunnerConnection): void {
    const index = this.#idle.indexOf(connection);
    if (index >= 0) this.#idle.splice(index, 1);
  }
}
