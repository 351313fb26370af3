import { Agent } from "undici";
import type { PeerCredentials } from "../tls/mod.ts";
import {
  type ControlClientOptions,
  createPeerClient,
  createRouterClient,
  createSidecarClient,
  type PeerClient,
  type RouterClient,
  type SidecarClient,
} from "./control_client.ts";

const connectTimeoutMs = 1000;
const answerTimeoutMs = 2000;

/** Credentials of the connections to peers. */
export type PeerClientsOptions = {
  /** Connections do not use TLS when absent. */
  credentials?: PeerCredentials;
};

/** Clients of the procedures of other processes, by control address. */
export class PeerClients {
  readonly #credentials: PeerCredentials | undefined;
  readonly #renewal: Disposable | undefined;
  readonly #routers = new Map<string, RouterClient>();
  readonly #sidecars = new Map<string, SidecarClient>();
  readonly #clients = new Map<string, PeerClient>();
  #agent: Agent;

  private constructor({ credentials }: PeerClientsOptions) {
    this.#credentials = credentials;
    this.#agent = createAgent(credentials);
    this.#renewal = credentials?.subscribe(() => this.replaceAll());
  }

  /** Creates a set without clients; connections are opened on demand. */
  static create(options: PeerClientsOptions = {}): PeerClients {
    return new PeerClients(options);
  }

  /** Gets the client of a control address (`ip:port`). */
  get(address: string): PeerClient {
    const cached = this.#clients.get(address);
    if (cached !== undefined) return cached;
    const client = createPeerClient(this.#getOptions(address));
    this.#clients.set(address, client);
    return client;
  }

  /** Gets the client of a sidecar's control address (`ip:port`). */
  getSidecar(address: string): SidecarClient {
    const cached = this.#sidecars.get(address);
    if (cached !== undefined) return cached;
    const client = createSidecarClient(this.#getOptions(address));
    this.#sidecars.set(address, client);
    return client;
  }

  /** Gets the client of a router's control address (`ip:port`). */
  getRouter(address: string): RouterClient {
    const cached = this.#routers.get(address);
    if (cached !== undefined) return cached;
    const client = createRouterClient(this.#getOptions(address));
    this.#routers.set(address, client);
    return client;
  }

  /** Closes every connection, so that new ones use the current credentials. */
  replaceAll(): void {
    const retired = this.#agent;
    this.#agent = createAgent(this.#credentials);
    this.#routers.clear();
    this.#clients.clear();
    this.#sidecars.clear();
    void retired.close().catch(() => {});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#renewal?.[Symbol.dispose]();
    await this.#agent.destroy();
  }

  #getOptions(address: string): ControlClientOptions {
    return {
      address,
      dispatcher: this.#agent,
      isSecure: this.#credentials !== undefined,
    };
  }
}

function createAgent(credentials: PeerCredentials | undefined): Agent {
  return new Agent({
    connect: { timeout: connectTimeoutMs, ...credentials?.clientOptions },
    headersTimeout: answerTimeoutMs,
    bodyTimeout: answerTimeoutMs,
    connections: 1,
  });
}
