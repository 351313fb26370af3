import type { PeerCredentials } from "@jasminetide/runtime/tls";
import { Pool } from "undici";

/** Connections to one address. */
const connectionsPerAddress = 128;

/**
 * Time after which an idle connection is no longer used. It stays below the
 * time after which state between the two ends is commonly dropped.
 */
const idleLimitMs = 4000;

const connectTimeoutMs = 1500;

/** Creates the connections to one origin. */
export type PoolFactory = (address: string, options: Pool.Options) => Pool;

/** Pooled connections by address, replaceable when they have gone silent. */
export class Connections {
  readonly #pools = new Map<string, Pool>();
  readonly #createPool: PoolFactory;
  #renewal: Disposable | undefined;

  private constructor(createPool: PoolFactory) {
    this.#createPool = createPool;
  }

  /** Creates an empty set; connections are opened on demand. */
  static create(createPool: PoolFactory = createPlainPool): Connections {
    return new Connections(createPool);
  }

  /**
   * Creates an empty set whose connections present the credentials in force;
   * when these change, new requests take new connections.
   */
  static createSecure(credentials: PeerCredentials): Connections {
    const connections = new Connections(createSecurePools(credentials));
    connections.#renewal = credentials.subscribe(() =>
      connections.replaceAll()
    );
    return connections;
  }

  /** Gets the pool of an address (`ip:port`). */
  get(address: string): Pool {
    let pool = this.#pools.get(address);
    if (pool === undefined) {
      pool = this.#createPool(address, {
        connections: connectionsPerAddress,
        keepAliveTimeout: idleLimitMs,
        keepAliveMaxTimeout: idleLimitMs,
        connectTimeout: connectTimeoutMs,
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

  /** Retires every pool, so that new connections use new credentials. */
  replaceAll(): void {
    for (const [address, pool] of [...this.#pools]) this.replace(address, pool);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#renewal?.[Symbol.dispose]();
    await Promise.all([...this.#pools.values()].map((pool) => pool.destroy()));
  }
}

function createPlainPool(address: string, options: Pool.Options): Pool {
  return new Pool(`http://${address}`, options);
}

function createSecurePools(credentials: PeerCredentials): PoolFactory {
  return (address, options) =>
    new Pool(`https://${address}`, {
      ...options,
      connect: credentials.clientOptions,
    });
}
