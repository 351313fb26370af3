import type { PeerCredentials } from "@jasminetide/runtime/tls";
import { Pool } from "undici";

/** Maximum number of connections to one address. */
const maxConnectionsPerAddress = 128;

/**
 * Time after which an idle connection is no longer used. It is shorter than the
 * time after which network devices on the path commonly drop its state.
 */
const idleTimeoutMs = 4000;

const connectTimeoutMs = 1500;

/** Creates the connection pool of one address. */
export type PoolFactory = (address: string, options: Pool.Options) => Pool;

/** Connection pools by address, replaceable when a connection goes silent. */
export class Connections {
  readonly #pools = new Map<string, Pool>();
  readonly #createPool: PoolFactory;
  #credentialsSubscription: Disposable | undefined;

  private constructor(createPool: PoolFactory) {
    this.#createPool = createPool;
  }

  /** Creates an empty set; connections are opened on demand. */
  static create(createPool: PoolFactory = createPlainPool): Connections {
    return new Connections(createPool);
  }

  /**
   * Creates an empty set whose connections present the current credentials.
   * When these change, new requests use new connections.
   */
  static createSecure(credentials: PeerCredentials): Connections {
    const connections = new Connections(createSecurePools(credentials));
    connections.#credentialsSubscription = credentials.subscribe(() =>
      connections.replaceAll()
    );
    return connections;
  }

  /** Gets the pool of an address (`ip:port`). */
  get(address: string): Pool {
    let pool = this.#pools.get(address);
    if (pool === undefined) {
      pool = this.#createPool(address, {
        connections: maxConnectionsPerAddress,
        keepAliveTimeout: idleTimeoutMs,
        keepAliveMaxTimeout: idleTimeoutMs,
        connectTimeout: connectTimeoutMs,
        bodyTimeout: 0,
        headersTimeout: 0,
      });
      this.#pools.set(address, pool);
    }
    return pool;
  }

  /**
   * Replaces the pool of an address after one of its connections went silent.
   * Requests on the old pool may still finish; new requests use the new pool.
   */
  replace(address: string, failed: Pool): Pool {
    if (this.#pools.get(address) === failed) {
      this.#pools.delete(address);
      void failed.close().catch(() => {});
    }
    return this.get(address);
  }

  /** Replaces every pool, so that new connections use new credentials. */
  replaceAll(): void {
    for (const [address, pool] of [...this.#pools]) this.replace(address, pool);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#credentialsSubscription?.[Symbol.dispose]();
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
