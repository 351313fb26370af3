/** A TCP link between two processes that can be made to fail. */
import {
  type AddressInfo,
  createConnection,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { setTimeout } from "node:timers/promises";

/** A way through a link: towards the far end, or back from it. */
export type LinkSide = "requests" | "answers";

/** One way of one connection. */
type Way = {
  isSilent: boolean;
  /** Bytes that are being held; what follows waits for them. */
  held: number;
  /** Settles when they have passed. */
  passed: Promise<void>;
};

type Pair = { near: Socket; far: Socket; ways: Record<LinkSide, Way> };

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
  #silentSides: readonly LinkSide[] = [];
  #delayMs = 0;

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
    this.#addSilence(["requests", "answers"]);
  }

  /**
   * Loses all bytes of some sides from now on. Connections that lost bytes stay
   * silent for good; new ones work once no side is named any more.
   */
  setSilentSides(sides: readonly LinkSide[]): void {
    this.#silentSides = sides;
    this.#addSilence(sides);
  }

  /** Holds all bytes for a time on their way, from now on. */
  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Resets the open connections. */
  resetOpen(): void {
    for (const { near, far } of this.#pairs) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
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
    const pair = {
      near,
      far,
      ways: { requests: createWay(), answers: createWay() },
    };
    this.#pairs.add(pair);
    this.#addSilence(this.#silentSides);
    near.on(
      "data",
      (bytes) =>
        this.#passOn(
          pair,
          "requests",
          () => far.write(this.#requestFilter(bytes)),
        ),
    );
    far.on(
      "data",
      (bytes) =>
        this.#passOn(pair, "answers", () => near.write(this.#filter(bytes))),
    );
    this.#joinEnds(pair);
  }

  #addSilence(sides: readonly LinkSide[]): void {
    for (const { ways } of this.#pairs) {
      for (const side of sides) ways[side].isSilent = true;
    }
  }

  #passOn(pair: Pair, side: LinkSide, pass: () => void): void {
    const way = pair.ways[side];
    const tryPass = () => {
      if (!way.isSilent) pass();
    };
    if (this.#delayMs === 0 && way.held === 0) {
      tryPass();
      return;
    }
    const dueMs = performance.now() + this.#delayMs;
    way.held += 1;
    way.passed = way.passed
      .then(() => setTimeout(Math.max(0, dueMs - performance.now())))
      .then(() => {
        way.held -= 1;
        tryPass();
      });
  }

  #joinEnds(pair: Pair): void {
    const { near, far } = pair;
    const ends = [
      { socket: near, other: far, side: "requests" },
      { socket: far, other: near, side: "answers" },
    ] as const;
    for (const { socket, other, side } of ends) {
      socket.on("error", () => socket.destroy());
      socket.on("close", () => {
        this.#pairs.delete(pair);
        this.#passOn(pair, side, () => other.destroy());
      });
    }
  }
}

function createWay(): Way {
  return { isSilent: false, held: 0, passed: Promise.resolve() };
}
