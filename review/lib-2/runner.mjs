/** Stand-in of a runner, as PROTOCOL.md describes it. */
import { createServer } from "node:http";

/** Runs requests, and records each that it ran. */
export class Runner {
  /** Requests that this runner ran, in order. */
  ran = [];
  #options;
  #server;
  #sockets = new Set();

  /**
   * `run` gets a request and its body and resolves with `{ status, body }`;
   * without it, the body is answered after `workMs`.
   */
  constructor(options) {
    this.#options = { workMs: 5, slots: 96, ...options };
    this.#server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.#server.keepAliveTimeout = 20_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.on("error", () => {});
    });
  }

  get id() {
    return this.#options.id;
  }

  async listen() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.address = `127.0.0.1:${this.#server.address().port}`;
    return this.address;
  }

  /** The entry that the runner writes to the platform's store. */
  entry(state = "ready") {
    return {
      Service: this.#options.service,
      Address: this.address,
      Zone: "cz-central-a",
      Version: "v1",
      Slots: this.#options.slots,
      State: state,
      ColdLeftMs: 0,
      Seq: 1,
      born: this.#options.born ?? 1_700_000_000_000,
    };
  }

  /** Ends as a process that exits: connections break off. */
  exit() {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  async #handle(request, response) {
    const { id, run, workMs } = this.#options;
    const headers = {
      "Attempt-Id": request.headers["attempt-id"] ?? "",
      "Keep-Alive": "timeout=20",
    };
    const target = request.headers["target-instance"];
    if (target !== undefined && target !== id) {
      response.writeHead(421, { ...headers, "Not-Executed": "1" }).end();
      return;
    }
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks);
    this.ran.push({
      attemptId: headers["Attempt-Id"],
      atMs: performance.now(),
      headers: request.headers,
    });
    const answer = run === undefined
      ? await wait(workMs).then(() => ({ status: 200, body }))
      : await run(request, body, response);
    if (answer === undefined || response.destroyed) return;
    response.writeHead(answer.status, {
      ...headers,
      "Server-Seal": `seal.${id}`,
      "Content-Length": answer.body.length,
    });
    response.end(answer.body);
  }
}

export function wait(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
