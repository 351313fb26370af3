/**
 * A TCP proxy between two processes that injects network faults. A connection
 * that one end closes or resets is closed or reset at the other end.
 */
import {
  type AddressInfo,
  createConnection,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { setTimeout } from "node:timers/promises";

/**
 * Direction of bytes through a link: from the near end (client) to the far end
 * (server), or back.
 */
export type LinkDirection = "requests" | "answers";

/** State of one direction of a connection. */
type DirectionState = {
  /** Whether all bytes are dropped. */
  isSilent: boolean;
  /** Number of delayed chunks and closes; later ones queue behind them. */
  delayedCount: number;
  /** Settles when the delayed chunks and closes have been relayed. */
  delayedRelay: Promise<void>;
};

type Connection = {
  near: Socket;
  far: Socket;
  directions: Record<LinkDirection, DirectionState>;
};

/** Rewrites relayed bytes; an empty result drops them. */
export type ByteFilter = (bytes: Uint8Array) => Uint8Array;

/** Target address of a link, read for every new connection. */
export type FaultLinkOptions = { getTarget: () => string };

/** Relays bytes between two ends and injects faults on request. */
export class FaultLink {
  readonly #options: FaultLinkOptions;
  readonly #server: Server;
  readonly #connections = new Set<Connection>();
  #filter: ByteFilter = (bytes) => bytes;
  #requestFilter: ByteFilter = (bytes) => bytes;
  #isRefusing = false;
  #silentDirections: readonly LinkDirection[] = [];
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

  /** Number of open connections. */
  get size(): number {
    return this.#connections.size;
  }

  /** Makes the open connections permanently silent; new ones work. */
  silenceOpen(): void {
    this.#silence(["requests", "answers"]);
  }

  /**
   * Drops all bytes in the given directions, for open and new connections. These
   * connections stay silent permanently; connections that are opened after the
   * directions are reset to none work.
   */
  setSilentDirections(directions: readonly LinkDirection[]): void {
    this.#silentDirections = directions;
    this.#silence(directions);
  }

  /** Delays all bytes that are received from now on; 0 ends the delay. */
  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Resets the open connections (TCP RST). */
  resetOpen(): void {
    for (const { near, far } of this.#connections) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  /** Closes the open connections. */
  cutOpen(): void {
    for (const { near, far } of this.#connections) {
      near.destroy();
      far.destroy();
    }
  }

  /** Sets whether new connections are closed at once. */
  refuse(isRefusing: boolean): void {
    this.#isRefusing = isRefusing;
  }

  /** Sets a filter for bytes to the near end. */
  setFilter(filter: ByteFilter): void {
    this.#filter = filter;
  }

  /** Sets a filter for bytes to the far end. */
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
    const connection = {
      near,
      far,
      directions: {
        requests: createDirectionState(),
        answers: createDirectionState(),
      },
    };
    this.#connections.add(connection);
    this.#silence(this.#silentDirections);
    near.on(
      "data",
      (bytes) =>
        this.#relay(
          connection,
          "requests",
          () => far.write(this.#requestFilter(bytes)),
        ),
    );
    far.on(
      "data",
      (bytes) =>
        this.#relay(
          connection,
          "answers",
          () => near.write(this.#filter(bytes)),
        ),
    );
    this.#joinEnds(connection);
  }

  #silence(silent: readonly LinkDirection[]): void {
    for (const { directions } of this.#connections) {
      for (const direction of silent) directions[direction].isSilent = true;
    }
  }

  /** Relays a chunk or a close: runs `action` after the delay unless silent. */
  #relay(
    connection: Connection,
    direction: LinkDirection,
    action: () => void,
  ): void {
    const state = connection.directions[direction];
    const actUnlessSilent = () => {
      if (!state.isSilent) action();
    };
    if (this.#delayMs === 0 && state.delayedCount === 0) {
      actUnlessSilent();
      return;
    }
    const dueMs = performance.now() + this.#delayMs;
    state.delayedCount += 1;
    state.delayedRelay = state.delayedRelay
      .then(() => setTimeout(Math.max(0, dueMs - performance.now())))
      .then(() => {
        state.delayedCount -= 1;
        actUnlessSilent();
      });
  }

  #joinEnds(connection: Connection): void {
    const { near, far } = connection;
    const ends = [
      { socket: near, other: far, direction: "requests" },
      { socket: far, other: near, direction: "answers" },
    ] as const;
    for (const { socket, other, direction } of ends) {
      let wasReset = false;
      socket.on("error", ({ code }: NodeJS.ErrnoException) => {
        wasReset ||= code === "ECONNRESET";
        socket.destroy();
      });
      // A reset that directly follows data is reported as a regular end, but
      // the socket has no remote port any more.
      socket.on("end", () => wasReset ||= socket.remotePort === undefined);
      socket.on("close", () => {
        this.#connections.delete(connection);
        this.#relay(
          connection,
          direction,
          () => wasReset ? other.resetAndDestroy() : other.destroy(),
        );
      });
    }
  }
}

function createDirectionState(): DirectionState {
  return {
    isSilent: false,
    delayedCount: 0,
    delayedRelay: Promise.resolve(),
  };
}
