import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { testHeaders } from "./test_protocol.ts";

/** Request that a scripted runner has received. */
export type ReceivedRequest = {
  head: string;
  body: string;
  attemptId: string;
  socket: Socket;
  /** Settles when the request's connection has closed. */
  closed: Promise<unknown>;
};

/** Answers a request by writing bytes to its socket. */
export type Script = (request: ReceivedRequest) => void;

/** Runner whose answers are written byte by byte by a script. */
export class ScriptedRunner {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #resolvers: ((request: ReceivedRequest) => void)[] = [];
  readonly #address: string;
  #hasCrashed = false;
  #isProxied = false;
  /** Requests received so far. */
  readonly requests: ReceivedRequest[] = [];
  /** Answers the requests; may be replaced at any time. */
  script: Script;

  private constructor(server: Server, script: Script) {
    this.script = script;
    this.#server = server;
    const { address, port } = server.address() as AddressInfo;
    this.#address = `${address}:${port}`;
    server.on("connection", (socket) => this.#accept(socket));
  }

  /** Starts a runner on a free port of the loopback address. */
  static async create(script: Script): Promise<ScriptedRunner> {
    const server = createServer();
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return new ScriptedRunner(server, script);
  }

  /** `ip:port` that the runner listens at. */
  get address(): string {
    return this.#address;
  }

  /** Whether the runner has crashed. */
  get hasCrashed(): boolean {
    return this.#hasCrashed;
  }

  /** Ends the runner like a process that crashes: port and connections close. */
  crash(): void {
    this.#hasCrashed = true;
    this.#server.close();
    this.closeConnections();
  }

  /** Ends the runner; a proxy before it still accepts connections. */
  crashBehindProxy(): void {
    this.#isProxied = true;
    this.closeConnections();
  }

  /** Answers again, as a process that has started behind a proxy. */
  startBehindProxy(): void {
    this.#isProxied = false;
  }

  /** Closes all connections while the runner goes on. */
  closeConnections(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#sockets.clear();
  }

  /** Waits for the next request. */
  waitForRequest(): Promise<ReceivedRequest> {
    return new Promise((resolve) => this.#resolvers.push(resolve));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#hasCrashed) return;
    const closed = once(this.#server, "close");
    this.crash();
    await closed;
  }

  #accept(socket: Socket): void {
    if (this.#isProxied) {
      socket.on("error", () => {});
      socket.destroy();
      return;
    }
    this.#sockets.add(socket);
    // A reset is an error and a close; only the latter matters here.
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.on("error", () => {});
    let text = "";
    socket.on("data", (bytes) => {
      text += bytes.toString("latin1");
      const end = text.indexOf("\r\n\r\n");
      if (end < 0) return;
      const head = text.slice(0, end);
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      if (text.length < end + 4 + length) return;
      const body = text.slice(end + 4, end + 4 + length);
      text = text.slice(end + 4 + length);
      const attemptId = readAttemptId(head);
      this.#handle({ head, body, attemptId, socket, closed });
    });
  }

  #handle(request: ReceivedRequest): void {
    this.requests.push(request);
    this.script(request);
    for (const resolve of this.#resolvers.splice(0)) resolve(request);
  }
}

/**
 * Resets a connection. The `resetAndDestroy` of Node.js first closes it
 * normally, which the peer may notice before the reset.
 */
export function resetSocket(socket: Socket): void {
  Object.assign(socket, { resetAndClosing: true }).destroy();
}

function readAttemptId(head: string): string {
  const pattern = new RegExp(`^${testHeaders.attempt}: (.*)$`, "im");
  return pattern.exec(head)?.[1]?.trim() ?? "";
}

/** Formats the head of a genuine answer without its framing headers. */
export function formatHead(attemptId: string, status = "200 OK"): string {
  return `HTTP/1.1 ${status}\r\n${testHeaders.attempt}: ${attemptId}\r\n` +
    `${testHeaders.mark}: m\r\n`;
}

/** How an answer differs from a usual one. */
export type AnswerVariation = {
  status?: string;
  /** Limit that the runner states, in requests a second. */
  perSecond?: number;
  /** Requests that wait at the runner, all of whose 8 slots run some if any do. */
  waiting?: number;
};

/** Formats a whole genuine answer with its length. */
export function formatAnswer(
  attemptId: string,
  body: string,
  { perSecond, status = "200 OK", waiting }: AnswerVariation = {},
): string {
  const limit = perSecond === undefined
    ? ""
    : `${testHeaders.limit}: ${perSecond}\r\n`;
  const load = waiting === undefined
    ? ""
    : `${testHeaders.load}: ${waiting > 0 ? 8 : 2},${waiting},8\r\n`;
  return `${
    formatHead(attemptId, status)
  }${limit}${load}Content-Length: ${body.length}` +
    `\r\n\r\n${body}`;
}
