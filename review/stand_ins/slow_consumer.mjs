/** Runs a consumer behind a slow link as a process of its own. */
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { apiKey } from "./case.mjs";
import { parseAddress } from "./net_tools.mjs";

const script = fileURLToPath(new URL("slow_consumer.pl", import.meta.url));

/** A consumer with one channel to a gateway. */
export class SlowConsumer {
  #process;
  #lines;

  /**
   * Connects a consumer.
   *
   * @param options.bytesPerSecond what the consumer's link carries.
   */
  static create({ bytesPerSecond, gateway }) {
    const consumer = new SlowConsumer();
    const { host, port } = parseAddress(gateway.frontend);
    consumer.#process = spawn(
      "perl",
      [script, host, String(port), String(bytesPerSecond)],
      { stdio: ["pipe", "pipe", "inherit"] },
    );
    const input = createInterface({ input: consumer.#process.stdout });
    consumer.#lines = input[Symbol.asyncIterator]();
    return consumer;
  }

  /** Sends a request and reads its answer. */
  async send({ deadlineMs, path, record }) {
    const attemptId = randomBytes(8).toString("hex");
    record({ event: "sent", attemptId, path, deadlineMs });
    const request = [
      `GET ${path} HTTP/1.1`,
      "Host: desk.example",
      `Attempt-Id: ${attemptId}`,
      `Deadline-Ms: ${deadlineMs}`,
      `Key: ${apiKey}`,
      "",
      "",
    ].join("\\r\\n");
    this.#process.stdin.write(`${request}\n`);
    const { done, value } = await this.#lines.next();
    if (done) throw new Error("The consumer ended without an answer");
    const [status, bodyBytes, isWhole, isEnded, digest] = value.split(" ");
    const answer = {
      attemptId,
      status: Number(status),
      bodyBytes: Number(bodyBytes),
      isWhole: isWhole === "1",
      isEnded: isEnded === "1",
      digest,
    };
    record({ event: "answered", ...answer });
    return answer;
  }

  close() {
    this.#process.stdin.end();
    this.#process.kill("SIGKILL");
  }
}
