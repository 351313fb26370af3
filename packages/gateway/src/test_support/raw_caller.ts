import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { parseAddress } from "@jasminetide/runtime/settings";
import { testHeaders } from "./test_protocol.ts";
import { testHost } from "./test_gateway.ts";

/** Request that a raw caller sends. */
export type RawRequest = {
  path: string;
  attemptId: string;
  method?: string;
  headers?: Record<string, string>;
  body?: string;
};

/** Caller that exposes every byte of its connection. */
export class RawCaller {
  readonly socket: Socket;
  /** All bytes received so far, decoded as Latin-1. */
  text = "";
  /** Attempt that was sent last; empty before the first. */
  attemptId = "";
  #hasEnded = false;
  #onChange: () => void = () => {};

  private constructor(socket: Socket) {
    this.socket = socket;
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      this.text += bytes.toString("latin1");
      this.#onChange();
    });
    socket.on("close", () => {
      this.#hasEnded = true;
      this.#onChange();
    });
  }

  /** Connects to a gateway at `ip:port`. */
  static async create(address: string): Promise<RawCaller> {
    const { ip, port } = parseAddress(address);
    const socket = connect(port, ip);
    await once(socket, "connect");
    return new RawCaller(socket);
  }

  /** Whether the connection has closed. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Sends a request. */
  send(request: RawRequest): void {
    const body = request.body ?? "";
    this.attemptId = request.attemptId;
    const headers: Record<string, string> = {
      host: testHost,
      [testHeaders.attempt]: request.attemptId,
      ...(body === "" ? {} : { "content-length": String(body.length) }),
      ...request.headers,
    };
    const lines = Object.entries(headers).map(([name, value]) =>
      `${name}: ${value}\r\n`
    );
    this.socket.write(
      `${request.method ?? "POST"} ${request.path} HTTP/1.1\r\n` +
        `${lines.join("")}\r\n${body}`,
    );
  }

  /** Waits until a condition on the received data holds. */
  async waitUntil(condition: (caller: RawCaller) => boolean): Promise<void> {
    while (!condition(this)) {
      await new Promise<void>((resolve) => {
        this.#onChange = resolve;
      });
    }
  }

  [Symbol.dispose](): void {
    this.socket.destroy();
  }
}

/** Whether the caller has an answer with its length, last chunk or end. */
export function isWhole({ hasEnded, text }: RawCaller): boolean {
  const end = text.indexOf("\r\n\r\n");
  if (end < 0) return false;
  const head = text.slice(0, end);
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  if (length !== undefined) return text.length >= end + 4 + Number(length);
  if (!/transfer-encoding/i.test(head)) return hasEnded;
  return text.endsWith("0\r\n\r\n");
}
