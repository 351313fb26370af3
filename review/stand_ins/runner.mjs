/** Stand-in of a runner that answers as a case tells it to. */
import { randomBytes } from "node:crypto";
import { createServer } from "node:http";
import { Link } from "./link.mjs";
import { listen } from "./net_tools.mjs";

/** A runner with its entry in the store. */
export class Runner {
  /** The requests that it began to run, with their ids. */
  runs = [];
  #server;
  #store;
  #isLeaving = false;

  /**
   * Starts a runner and registers it.
   *
   * @param options.run answers a request that names this runner; gets the
   * request, its whole body, the response and the headers of the answer.
   */
  static async create(options) {
    const { isBehindLink, record, run, service, slots, store, zone } = options;
    const runner = new Runner();
    runner.id = `i-${randomBytes(5).toString("hex")}`;
    runner.#server = createServer(async (request, response) => {
      const chunks = [];
      for await (const chunk of request) chunks.push(chunk);
      const attemptId = request.headers["attempt-id"] ?? "";
      const headers = {
        "Attempt-Id": attemptId,
        ...(runner.#isLeaving ? { "Server-Leaving": "1" } : {}),
      };
      if (request.headers["target-instance"] !== runner.id) {
        response.writeHead(421, { ...headers, "Not-Executed": "1" }).end();
        return;
      }
      record({ event: "run", runner: runner.id, attemptId });
      runner.runs.push({ attemptId, atMs: Date.now() });
      const seal = randomBytes(8).toString("hex");
      run(request, chunks, response, { ...headers, "Server-Seal": seal });
    });
    runner.#server.keepAliveTimeout = 20_000;
    runner.address = await listen(runner.#server);
    if (isBehindLink) {
      runner.link = await Link.create({ record, target: runner.address });
    }
    runner.#store = store;
    runner.entry = {
      Service: service,
      Address: runner.link?.address ?? runner.address,
      Zone: zone,
      Version: "v1",
      Slots: slots,
      State: "ready",
      ColdLeftMs: 0,
      Seq: 1,
      born: Date.now(),
    };
    runner.register();
    return runner;
  }

  /** Writes its entry, also again. */
  register() {
    this.#store.put("servers", this.id, this.entry);
  }

  /** Reports that it drains, and serves on. */
  drain() {
    this.#isLeaving = true;
    this.entry = { ...this.entry, State: "draining", Seq: this.entry.Seq + 1 };
    this.register();
  }

  /**
   * Leaves without reporting that it drains: its entry is removed, and it
   * serves on.
   */
  leave() {
    this.#isLeaving = true;
    this.#store.remove("servers", this.id);
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}
