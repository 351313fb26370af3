/** A TCP link between two processes that can be made to fail. */
import {
  type AddressInfo,
  createConnection,
  createServer,
  type Server,
  type Socket,
} from "node:net";

type Pair = { near: Socket; far: Socket; isSilent: boolean };

/** Rewrites bytes on their way; none left means that they are lost. */
export type ByteFilter = (bytes: Uint8Array) => Uint8Array;

/** Where a link leads; read at each new connection. */
export type FaultLinkOptions = { getTarget: () => string };

/** Passes bytes on between two ends until told to fail. */
export class FaultLink {
  readonly #options: FaultLinkOptions;
  readonly #server: Server;
  readonly #pairs = new Set<Pair>();
  #filter: ByteFilter = (bytes) => bytes;
  #requestFilter: ByteFilter = (bytes) => bytes;
  #isRefusing = false;

  private constructor(options: FaultLinkOptions) {
    this.#options = options;
    this.#server = createServer((near) => this.#accept(near));
  }

  /** Starts a link on a free port of the loopback address. */
  static async create(options: FaultLinkOptions): Promise<FaultLink> {
    const link = new FaultLink(options);
    await new Promise<void>((resolve) =>
      link.#server.listen(0, "127.0.0.1", resolve)
    );
    return link;
  }

  /** `ip:port` of the near end. */
  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Connections that are open. */
  get size(): number {
    return this.#pairs.size;
  }

  /** Makes the open connections silent for good; new ones work. */
  silenceOpen(): void {
    for (const pair of this.#pairs) pair.isSilent = true;
  }

  /** Cuts the open connections. */
  cutOpen(): void {
    for (const { near, far } of this.#pairs) {
      near.destroy();
      far.destroy();
    }
  }

  /** Closes new connections as soon as they are made, or no longer. */
  refuse(isRefusing: boolean): void {
    this.#isRefusing = isRefusing;
  }

  /** Rewrites bytes towards the near end from now on. */
  setFilter(filter: ByteFilter): void {
    this.#filter = filter;
  }

  /** Rewrites bytes towards the far end from now on. */
  setRequestFilter(filter: ByteFilter): void {
    this.#requestFilter = filter;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.cutOpen();
    await closed;
  }

  #accept(near: Socket): void {
    if (this.#isRefusing) {
      near.destroy();
      return;
    }
    const [host, port] = this.#options.getTarget().split(":");
    const far = createConnection(Number(port), host);
    const pair = { near, far, isSilent: false };
    this.#pairs.add(pair);
    near.on("data", (bytes) => {
      if (!pair.isSilent) far.write(this.#requestFilter(bytes));
    });
    far.on("data", (bytes) => {
      if (!pair.isSilent) near.write(this.#filter(bytes));
    });
    this.#joinEnds(pair);
  }

  #joinEnds(pair: Pair): void {
    const { near, far } = pair;
    const forget = () => this.#pairs.delete(pair);
    for (const [socket, other] of [[near, far], [far, near]]) {
      socket.on("error", () => socket.destroy());
      socket.on("close", () => {
        forget();
        if (!pair.isSilent) other.destroy();
      });
    }
  }
}
