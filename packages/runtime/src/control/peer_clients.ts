import { Agent } from "undici";
import {
  createEntryClient,
  createPeerClient,
  createSidecarClient,
  type EntryClient,
  type PeerClient,
  type SidecarClient,
} from "./control_client.ts";

const connectTimeoutMs = 1000;
const answerTimeoutMs = 2000;

/** Clients of other processes' procedures, by control address. */
export class PeerClients {
  readonly #agent = new Agent({
    connect: { timeout: connectTimeoutMs },
    headersTimeout: answerTimeoutMs,
    bodyTimeout: answerTimeoutMs,
    connections: 1,
  });
  readonly #entries = new Map<string, EntryClient>();
  readonly #sidecars = new Map<string, SidecarClient>();
  readonly #clients = new Map<string, PeerClient>();

  private constructor() {}

  /** Creates an empty set; connections are opened on demand. */
  static create(): PeerClients {
    return new PeerClients();
  }

  /** Gets the client of a control address (`ip:port`). */
  get(address: string): PeerClient {
    const known = this.#clients.get(address);
    if (known !== undefined) return known;
    const client = createPeerClient({ address, dispatcher: this.#agent });
    this.#clients.set(address, client);
    return client;
  }

  /** Gets the client of a sidecar's control address (`ip:port`). */
  getSidecar(address: string): SidecarClient {
    const known = this.#sidecars.get(address);
    if (known !== undefined) return known;
    const client = createSidecarClient({ address, dispatcher: this.#agent });
    this.#sidecars.set(address, client);
    return client;
  }

  /** Gets the client of a router's control address (`ip:port`). */
  getEntry(address: string): EntryClient {
    const known = this.#entries.get(address);
    if (known !== undefined) return known;
    const client = createEntryClient({ address, dispatcher: this.#agent });
    this.#entries.set(address, client);
    return client;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#agent.destroy();
  }
}
