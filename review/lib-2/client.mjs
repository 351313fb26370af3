/** A consumer: sends requests to a gateway and records the answers. */
import { Agent, request } from "node:http";

let lastId = 0;

/** Sends requests over connections that are kept open. */
export class Client {
  #agent = new Agent({ keepAlive: true });
  #port;

  constructor(port) {
    this.#port = port;
  }

  /** Sends a request; resolves with its answer, or how its channel ended. */
  send({ body = "", headers = {}, method = "POST", path }) {
    lastId += 1;
    const attemptId = `c${process.pid.toString(16)}${
      lastId.toString(16).padStart(8, "0")
    }`;
    const sentAtMs = performance.now();
    return new Promise((resolve) => {
      const end = (result) =>
        resolve({
          attemptId,
          sentAtMs,
          durationMs: performance.now() - sentAtMs,
          ...result,
        });
      const sent = request({
        host: "127.0.0.1",
        port: this.#port,
        path,
        method,
        agent: this.#agent,
        headers: {
          Host: "app.example",
          "Attempt-Id": attemptId,
          "Deadline-Ms": "1500",
          Key: "key-one",
          "Content-Length": Buffer.byteLength(body),
          ...headers,
        },
      }, (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on(
          "error",
          () => end({ status: response.statusCode, isCut: true }),
        );
        response.on("end", () =>
          end({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks),
            isCut: !response.complete,
          }));
      });
      sent.on("error", (error) => end({ status: 0, error: error.message }));
      sent.end(body);
    });
  }

  close() {
    this.#agent.destroy();
  }
}

/** A desired state with one route for each kind of request. */
export function createConfig(version, changes = {}) {
  const route = (name, RouteKind, Service, more = {}) => ({
    Name: name,
    Host: "app.example",
    PathPrefix: `/${name}/`,
    RouteKind,
    TimeoutMs: 1500,
    GoalMs: 120,
    Priority: 2,
    Service,
    MaxAttempts: 2,
    ...more,
  });
  return {
    Version: version,
    Routes: [
      route("pay", "non_idempotent", "ledger", { MaxAttempts: 1 }),
      route("look", "idempotent", "ledger"),
      route("chat", "streaming", "pool", {
        TimeoutMs: 15_000,
        GoalMs: 800,
        GapGoalMs: 300,
        Sticky: true,
      }),
    ],
    Services: [
      { Name: "ledger", HealthPath: "/healthz" },
      { Name: "pool", HealthPath: "/healthz" },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 5000,
      IdleTimeoutMs: 20_000,
    },
    Tenants: [{ Name: "tenant-one", ApiKeys: ["key-one"] }],
    ...changes,
  };
}
