/**
 * Stand-in of an engine in trouble: its answers have a body without end, in
 * chunks of one byte, until the caller closes.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:net";
import { listen } from "./net_tools.mjs";

/** Starts an engine that sends chunks of one byte until it is left. */
export async function createTroubledEngine({ record, status, store }) {
  const chunks = Buffer.from("1\r\nx\r\n".repeat(10_000));
  const server = createServer((channel) => {
    channel.on("error", () => {});
    channel.once("data", (bytes) => {
      const attemptId = /attempt-id: (\S+)/i.exec(bytes.toString())?.[1];
      record({ event: "chunks-without-end", attemptId });
      channel.write(
        `HTTP/1.1 ${status} Trouble\r\nAttempt-Id: ${attemptId}\r\n` +
          "Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
          "Content-Type: text/event-stream\r\n" +
          "Transfer-Encoding: chunked\r\n\r\n",
      );
      const write = () => {
        while (!channel.destroyed && channel.write(chunks));
      };
      channel.on("drain", write);
      channel.on("close", () => record({ event: "left", attemptId }));
      write();
    });
  });
  store.put("servers", "i-troubled", {
    Service: "pool",
    Address: await listen(server),
    Zone: "zone-a",
    Version: "v1",
    Slots: 96,
    State: "ready",
    ColdLeftMs: 0,
    Seq: 1,
    born: Date.now(),
  });
}
