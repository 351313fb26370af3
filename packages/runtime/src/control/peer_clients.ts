import { Agent } from "undici";
import type { PeerCredentials } from "../tls/mod.ts";
import {
  type ControlClientOptions,
  createEntryClient,
  createPeerClient,
  createSidecarClient,
  type EntryClient,
  type PeerClient,
  type SidecarClient,
} from "./control_client.ts";

const connectTimeoutMs = 1000;
const answerTimeoutMs = 2000;

/** How peers are reached. */
export type PeerClientsOptions = {
  /** Plain connections when absent. */
  credentials?: PeerCredentials;
};

/** Clients of other processes' procedures, by control address. */
export class PeerClients {
  readonly #credentials: PeerCredentials | undefined;
  readonly #renewal: Disposable | undefined;
  readonly #entries = new Map<string, EntryClient>();
  readonly #sidecars = new Map<string, SidecarClient>();
  readonly #clients = new Map<string, PeerClient>();
  #agent: Agent;

  private constructor({ credentials }: PeerClientsOptions) {
    this.#credentials = credentials;
    this.#agent = createAgent(credentials);
    this.#renewal = credentials?.subscribe(() => this.replaceAll());
  }

  /** Creates an empty set; connections are opened on demand. */
  static create(options: PeerClientsOptions = {}): PeerClients {
    return new PeerClients(options);
  }

  /** Gets the client of a control address (`ip:port`). */
  get(address: string): PeerClient {
    const known = this.#clients.get(address);
    if (known !== undefined) return known;
    const client = createPeerClient(this.#getOptions(address));
    this.#clients.set(address, client);
    return client;
  }

  /** Gets the client of a sidecar's control address (`ip:port`). */
  getSidecar(address: string): SidecarClient {
    const known = this.#sidecars.get(address);
    if (known !== undefined) return known;
    const client = createSidecarClient(this.#getOptions(address));
    this.#sidecars.set(address, client);
    return client;
  }

  /** Gets the client of a router's control address (`ip:port`). */
  getEntry(address: string): EntryClient {
    const known = this.#entries.get(address);
    if (known !== undefined) return known;
    const client = createEntryClient(this.#getOptions(address));
    this.#entries.set(address, client);
    return client;
  }

  /** Retires every connection, so that new ones use new credentials. */
  replaceAll(): void {
    const retired = this.#agent;
    this.#agent = createAgent(this.#credentials);
    this.#entries.clear();
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
