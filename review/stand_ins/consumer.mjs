/** Stand-in of a consumer that keeps one channel open for its requests. */
import { randomBytes } from "node:crypto";
import { Agent, request } from "node:http";
import { apiKey } from "./case.mjs";
import { parseAddress, readText } from "./net_tools.mjs";

/** A consumer with one channel to a gateway. */
export class Consumer {
  #address;
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });

  /** Creates a consumer that connects with its first request. */
  static create({ gateway }) {
    const consumer = new Consumer();
    consumer.#address = parseAddress(gateway.frontend);
    return consumer;
  }

  /**
   * Sends a request; resolves with the status, 0 if there is no answer, and
   * whether the consumer itself has left.
   *
   * @param options.patienceMs longest time without a byte of the body.
   */
  send({ deadlineMs, method = "GET", path, patienceMs = deadlineMs, record }) {
    const attemptId = randomBytes(8).toString("hex");
    record({ event: "sent", attemptId, method, path });
    return new Promise((resolve) => {
      let hasLeft = false;
      const end = (status, detail) => {
        record({ event: "answered", attemptId, status, detail });
        resolve({ attemptId, hasLeft, status });
      };
      const leave = (reason) => {
        hasLeft = true;
        sent.destroy(new Error(reason));
      };
      const sent = request({
        ...this.#address,
        agent: this.#agent,
        method,
        path,
        headers: {
          Host: "desk.example",
          "Attempt-Id": attemptId,
          "Deadline-Ms": String(deadlineMs),
          Key: apiKey,
        },
        timeout: deadlineMs,
      }, (response) => {
        response.once("data", () => clearTimeout(patience));
        readText(response).then(
          () => end(response.statusCode),
          (error) => end(0, error.message),
        );
      });
      const patience = setTimeout(
        () => leave("left: no byte of a body came in time"),
        patienceMs,
      );
      sent.on("close", () => clearTimeout(patience));
      sent.on("timeout", () => leave("left: time limit"));
      sent.on("error", (error) => end(0, error.message));
      sent.end();
    });
  }

  close() {
    this.#agent.destroy();
  }
}
