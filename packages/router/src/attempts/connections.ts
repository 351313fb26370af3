import { Pool } from "undici";

/** Connections to one address. */
const connectionsPerAddress = 128;

/** Pooled connections by address, replaceable when they have gone silent. */
export class Connections {
  readonly #pools = new Map<string, Pool>();

  private constructor() {}

  /** Creates an empty set; connections are opened on demand. */
  static create(): Connections {
    return new Connections();
  }

  /** Gets the pool of an address (`ip:port`). */
  get(address: string): Pool {
    let pool = this.#pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections: connectionsPerAddress,
        bodyTimeout: 0,
        headersTimeout: 0,
      });
      this.#pools.set(address, pool);
    }
    return pool;
  }

  /**
   * Retires the pool of an address after one of its connections went silent.
   * Requests on it may still end; new ones take new connections.
   */
  replace(address: string, silent: Pool): Pool {
    if (this.#pools.get(address) === silent) {
      this.#pools.delete(address);
      void silent.close().catch(() => {});
    }
    return this.get(address);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([...this.#pools.values()].map((pool) => pool.destroy()));
  }
}
