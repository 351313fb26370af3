import type { RunnerConnection } from "./runner_connection.ts";

/**
 * Idle connections to all runners, bounded in number: beyond the limit, the one
 * that has been idle longest is closed.
 */
export class IdleConnections {
  readonly #limit: number;
  readonly #connections = new Set<RunnerConnection>();

  private constructor(limit: number) {
    this.#limit = limit;
  }

  /** Creates an empty set with a limit on its size. */
  static create(limit: number): IdleConnections {
    return new IdleConnections(limit);
  }

  /** Adds a connection that has become idle. */
  add(connection: RunnerConnection): void {
    this.#connections.add(connection);
    if (this.#connections.size <= this.#limit) return;
    const [longest] = this.#connections;
    this.#connections.delete(longest);
    longest.destroy();
  }

  /** Removes a connection that is taken or closed. */
  remove(connection: RunnerConnection): void {
    this.#connections.delete(connection);
  }
}
