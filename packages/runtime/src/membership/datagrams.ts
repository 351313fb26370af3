import { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { AppError } from "@jasminetide/core/results";
import { parseAddress } from "../settings/mod.ts";

/** Size of the authentication code of a datagram. */
const codeBytes = 16;

/** Prepends an authentication code: HMAC-SHA-256, truncated to 128 bits. */
export function encodeDatagram(bytes: Uint8Array, key: string): Buffer {
  return Buffer.concat([getCode(bytes, key), bytes]);
}

/**
 * Verifies the authentication code of a datagram and returns its payload.
 *
 * @throws AppError `peerUnauthorized` when the code is invalid.
 */
export function decodeDatagram(datagram: Uint8Array, key: string): Uint8Array {
  const bytes = datagram.subarray(codeBytes);
  const code = datagram.subarray(0, codeBytes);
  if (
    code.length === codeBytes && timingSafeEqual(code, getCode(bytes, key))
  ) return bytes;
  throw AppError.create(
    "peerUnauthorized",
    "Datagram has an invalid authentication code",
  );
}

/** Address, key and handlers of a datagram socket. */
export type DatagramOptions = {
  /** `ip:port` of the control listener; the UDP socket binds the same. */
  address: string;
  /** Shared secret of the authentication codes. */
  key: string;
  /** Receives the payload of each datagram with a valid code. */
  receive: (bytes: Uint8Array) => void;
  /** Called with socket errors and with errors of received datagrams. */
  handleError: (error: unknown) => void;
};

/** A UDP socket whose datagrams carry an authentication code. */
export class DatagramSocket {
  readonly #socket: Socket;
  readonly #key: string;
  #isClosed = false;
  #sentBytes = 0;
  #receivedBytes = 0;

  private constructor(socket: Socket, key: string) {
    this.#socket = socket;
    this.#key = key;
  }

  /** Binds the socket. */
  static async create(options: DatagramOptions): Promise<DatagramSocket> {
    const { ip, port } = parseAddress(options.address);
    const socket = createSocket(ip.includes(":") ? "udp6" : "udp4");
    socket.bind(port, ip);
    await once(socket, "listening");
    const datagramSocket = new DatagramSocket(socket, options.key);
    socket.on("error", options.handleError);
    socket.on(
      "message",
      (datagram: Buffer) => datagramSocket.#handle(datagram, options),
    );
    return datagramSocket;
  }

  /** Bytes of UDP payload sent since the start. */
  get sentBytes(): number {
    return this.#sentBytes;
  }

  /** Bytes of UDP payload received since the start. */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Sends a datagram; later datagrams make up for a lost one. */
  send(address: string, bytes: Uint8Array): void {
    const { ip, port } = parseAddress(address);
    if (port === 0 || this.#isClosed) return;
    const datagram = encodeDatagram(bytes, this.#key);
    this.#sentBytes += datagram.length;
    this.#socket.send(datagram, port, ip, () => {});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#isClosed = true;
    const closed = once(this.#socket, "close");
    this.#socket.close();
    await closed;
  }

  #handle(datagram: Buffer, options: DatagramOptions): void {
    this.#receivedBytes += datagram.length;
    try {
      options.receive(decodeDatagram(datagram, this.#key));
    } catch (error) {
      options.handleError(error);
    }
  }
}

function getCode(bytes: Uint8Array, key: string): Buffer {
  return createHmac("sha256", key).update(bytes).digest()
    .subarray(0, codeBytes);
}
