import type { ServerResponse } from "node:http";

/** Waits until an answer has been sent or its connection has closed. */
export function waitForClose(response: ServerResponse): Promise<void> {
  const { socket } = response.req;
  return new Promise((resolve) => {
    const settle = () => {
      socket.off("close", settle);
      response.off("close", settle);
      resolve();
    };
    socket.once("close", settle);
    response.once("close", settle);
  });
}
