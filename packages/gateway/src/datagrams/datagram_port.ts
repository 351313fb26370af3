import type { Buffer } from "node:buffer";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { parseAddress } from "@jasminetide/runtime/settings";

/** Sends and receives datagrams that may be lost. */
export type DatagramPort = AsyncDisposable & {
  /** `ip:port` that it is bound to. */
  readonly address: string;
  /** Sends without waiting; what cannot be sent is dropped. */
  send: (bytes: Buffer, address: string) => void;
};

/**
 * Opens a UDP port.
 *
 * @param address `ip:port`; port 0 chooses a free one.
 */
export async function openDatagramPort(
  address: string,
  onDatagram: (bytes: Buffer, from: string) => void,
): Promise<DatagramPort> {
  const socket = createSocket("udp4");
  const { ip, port } = parseAddress(address);
  const listening = once(socket, "listening");
  socket.bind(port, ip);
  await listening;
  socket.on(
    "message",
    (bytes, { address, port }) => onDatagram(bytes, `${address}:${port}`),
  );
  // Errors of single datagrams; a lost one is replaced by the next.
  socket.on("error", () => {});
  return createPort(socket);
}

function createPort(socket: Socket): DatagramPort {
  const { address, port } = socket.address();
  return {
    address: `${address}:${port}`,
    send: (bytes, to) => {
      const target = parseAddress(to);
      socket.send(bytes, target.port, target.ip, () => {});
    },
    [Symbol.asyncDispose]: async () => {
      const closed = once(socket, "close");
      socket.close();
      await closed;
    },
  };
}
