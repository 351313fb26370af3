/** Small stand-ins and helpers for the scripts of this review (cases 11 to 15). */
import { spawn } from "node:child_process";
import { createServer as createHttpServer, request } from "node:http";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { connect, createServer as createNetServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export { sleep };

/** Root of the repository, from which the programs run. */
export const root = join(dirname(fileURLToPath(import.meta.url)), "../..");

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** Ports below those that the system gives to outgoing connections. */
const firstPort = 12_000;
const portCount = 18_000;
const reserved = new Set();

/** Reserves a free port on loopback. */
export async function reservePort() {
  while (true) {
    const port = firstPort + Math.floor(Math.random() * portCount);
    if (reserved.has(port) || !(await isFree(port))) continue;
    reserved.add(port);
    return port;
  }
}

function isFree(port) {
  return new Promise((resolve) => {
    const server = createNetServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/** Record of what was sent, answered and run. */
export class Record {
  #file;
  #startMs = Date.now();

  constructor(folder) {
    this.#file = join(folder, "record.txt");
    writeFileSync(this.#file, "");
  }

  add(text) {
    const atMs = Date.now() - this.#startMs;
    appendFileSync(this.#file, `${String(atMs).padStart(6)} ms  ${text}\n`);
  }
}

/** Store of the platform: lists, watches and writes of objects by kind. */
export class Store {
  #entries = new Map();
  #revision = 1;
  #watchers = new Set();
  #servers = [];

  /**
   * Opens one more address of the store.
   *
   * @param choose returns a status with which a call is turned away, or none.
   */
  async open(choose = () => undefined) {
    const server = createHttpServer((request, response) => {
      const status = choose();
      if (status === undefined) this.#handle(request, response);
      else response.writeHead(status).end();
    });
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    this.#servers.push(server);
    return `127.0.0.1:${server.address().port}`;
  }

  put(kind, name, spec) {
    this.#change({ kind, name, spec, isDeleted: false });
  }

  remove(kind, name) {
    const entry = this.#entries.get(`${kind}/${name}`);
    if (entry !== undefined && !entry.isDeleted) {
      this.#change({ ...entry, isDeleted: true });
    }
  }

  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  #change(entry) {
    this.#revision += 1;
    this.#entries.set(`${entry.kind}/${entry.name}`, {
      ...entry,
      revision: this.#revision,
    });
    for (const notify of [...this.#watchers]) notify();
  }

  #handle(request, response) {
    const url = new URL(request.url, "http://store");
    const [, , , kind, name] = url.pathname.split("/").map(decodeURIComponent);
    if (request.method === "GET") {
      if (url.searchParams.has("Watch")) {
        this.#watch(kind, url.searchParams, response);
      } else this.#list(kind, url.searchParams, response);
      return;
    }
    let text = "";
    request.setEncoding("utf8");
    request.on("data", (piece) => text += piece);
    request.on(
      "end",
      () => this.#write(request, { kind, name, text, response }),
    );
  }

  #write({ method }, { kind, name, response, text }) {
    if (method === "DELETE") {
      this.remove(kind, name);
      response.end("{}");
      return;
    }
    const body = JSON.parse(text);
    const key = name ?? body.Metadata.Name;
    const entry = this.#entries.get(`${kind}/${key}`);
    const exists = entry !== undefined && !entry.isDeleted;
    if (method === "PUT" && !exists) response.writeHead(404).end("{}");
    else if (method === "POST" && exists) {
      response.writeHead(409).end(JSON.stringify(encode(entry)));
    } else {
      this.put(kind, key, body.Spec);
      response.end(JSON.stringify(encode(this.#entries.get(`${kind}/${key}`))));
    }
  }

  #list(kind, query, response) {
    const after = query.get("After") ?? "";
    const found = [...this.#entries.values()]
      .filter((entry) =>
        entry.kind === kind && !entry.isDeleted && entry.name > after
      )
      .sort((left, right) => left.name < right.name ? -1 : 1);
    response.end(JSON.stringify({
      Entries: found.map(encode),
      HasMore: false,
      StoreRevision: this.#revision,
    }));
  }

  #watch(kind, query, response) {
    const since = Number(query.get("Watch"));
    const answer = (isLast) => {
      const changed = [...this.#entries.values()].filter((entry) =>
        entry.kind === kind && entry.revision > since
      ).sort((left, right) => left.revision - right.revision);
      if (changed.length === 0 && !isLast) return;
      stop();
      response.end(JSON.stringify({
        events: changed.map((entry) => ({
          Object: encode(entry),
          Deleted: entry.isDeleted,
        })),
        StoreRevision: this.#revision,
      }));
    };
    const notify = () => answer(false);
    const timer = setTimeout(() => answer(true), Number(query.get("WaitMs")));
    const stop = () => {
      clearTimeout(timer);
      this.#watchers.delete(notify);
    };
    this.#watchers.add(notify);
    response.on("close", stop);
    notify();
  }
}

function encode({ name, revision, spec }) {
  return {
    Metadata: { Name: name, Revision: revision, Finalizers: [] },
    Spec: spec,
  };
}

/** Writes the settings of a gateway, as the template gives them. */
function formatSettings(options) {
  const { name, ports, seeds, storeAddress, zone } = options;
  const address = (port) => `127.0.0.1:${port}`;
  return JSON.stringify(
    {
      name,
      failureDomain: zone,
      callerAddress: address(ports.callers),
      readinessAddress: address(ports.readiness),
      peerAddress: address(ports.peers),
      seedAddresses: seeds,
      platform: {
        noticeSilenceMs: 3000,
        leavingLimitMs: 2000,
        declarationLimitMs: 2000,
        writesPerSecond: 400,
        address: storeAddress,
      },
      host: {
        cores: 0.513,
        coreSpeed: 1,
        memoryMb: 350,
        maxDescriptors: 4200,
        linkMbps: 1000,
      },
      stop: { graceSeconds: 8 },
      datagrams: { address: address(ports.datagrams) },
      admission: { limitsWait: true },
      repeats: { ratio: 0.2, slack: 54, windowSeconds: 10 },
      log: {},
    },
    undefined,
    2,
  );
}

/** Gateways as processes of their own, and a temporary folder. */
export class Fleet {
  folder = mkdtempSync(join(tmpdir(), "review-"));
  gateways = [];
  #output = [];

  /** Starts a gateway with the command of the deploy file. */
  async start(name, { seeds = [], storeAddress, zone = "zone-a" }) {
    const ports = {
      callers: await reservePort(),
      readiness: await reservePort(),
      peers: await reservePort(),
      datagrams: await reservePort(),
    };
    const file = join(this.folder, `${name}.jsonc`);
    writeFileSync(
      file,
      formatSettings({ name, ports, seeds, storeAddress, zone }),
    );
    const gateway = { name, ports, file, child: undefined, log: [] };
    this.gateways.push(gateway);
    this.launch(gateway);
    return gateway;
  }

  /** Starts the process of a gateway. */
  launch(gateway) {
    const { PATH, HOME, LANG } = process.env;
    const child = spawn("node", [
      "--max-old-space-size=200",
      "--max-semi-space-size=4",
      "target/gateway.cjs",
    ], {
      cwd: root,
      env: { PATH, HOME, LANG, JASMINETIDE_NODE_FILE: gateway.file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    child.stdout.on("data", (bytes) => gateway.log.push(String(bytes)));
    child.stderr.on("data", (bytes) => gateway.log.push(String(bytes)));
    gateway.child = child;
  }

  /** Waits until a gateway counts as ready. */
  async waitUntilReady(gateway, limitMs = 20_000) {
    const endMs = Date.now() + limitMs;
    while (Date.now() < endMs) {
      const status = await getStatus(gateway.ports.readiness, "/v1/readyz");
      if (status === 200) return;
      await sleep(50);
    }
    throw new Error(`${gateway.name} is not ready`);
  }

  /** Ends all processes that were started. */
  async close() {
    const ends = this.gateways.map(({ child }) => {
      if (child.exitCode !== null || child.signalCode !== null) return;
      const ended = new Promise((resolve) => child.once("exit", resolve));
      child.kill("SIGKILL");
      return ended;
    });
    await Promise.all(ends);
    rmSync(this.folder, { recursive: true, force: true });
  }
}

function getStatus(port, path) {
  return new Promise((resolve) => {
    const sent = request({ host: "127.0.0.1", port, path, agent: false });
    sent.setTimeout(500, () => sent.destroy());
    sent.on("response", (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    sent.on("error", () => resolve(0));
    sent.end();
  });
}

/** Route of a small desired state. */
export function createRoute(route) {
  return {
    Host: "shop.example",
    RouteKind: "non_idempotent",
    TimeoutMs: 15_000,
    GoalMs: 200,
    Priority: 0,
    MaxAttempts: 1,
    ...route,
  };
}

/** A small desired state with one tenant. */
export function createDesiredState(version, routes, limits = {}) {
  return {
    Version: version,
    Routes: routes,
    Services: [],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 10_000,
      IdleTimeoutMs: 60_000,
      ...limits,
    },
    Tenants: [{ Name: "tenant-a", ApiKeys: ["key-a"] }],
  };
}

/** Entry of a runner in the store. */
export function createEntry(service, port, changes = {}) {
  return {
    Service: service,
    Address: `127.0.0.1:${port}`,
    Zone: "zone-a",
    Version: "1.0",
    Slots: 6,
    State: "ready",
    ColdLeftMs: 0,
    Seq: 1,
    born: Date.now(),
    ...changes,
  };
}

/** Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 else. */
export async function runCase(play) {
  const folder = dirname(process.argv[1]);
  const record = new Record(folder);
  const fleet = new Fleet();
  const store = new Store();
  let code = 2;
  try {
    const broken = await play({ fleet, store, record });
    code = broken.length > 0 ? 1 : 0;
    for (const each of broken) record.add(`BROKEN: ${each}`);
    if (broken.length === 0) record.add("the rule held");
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`);
  } finally {
    await fleet.close();
    store.close();
  }
  console.log(
    code === 1 ? "rule broken" : code === 0 ? "rule held" : "not run",
  );
  process.exit(code);
}

/** Link to an address that can be cut: connections are reset and refused. */
export class Link {
  #target;
  #server;
  #port;
  #sockets = new Set();

  static async open(address) {
    const link = new Link();
    link.#target = Number(address.split(":")[1]);
    link.#port = await reservePort();
    await link.heal();
    return link;
  }

  get address() {
    return `127.0.0.1:${this.#port}`;
  }

  /** Resets all connections and refuses new ones. */
  cut() {
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Accepts connections again. */
  async heal() {
    this.#server = createNetServer((near) => {
      const far = connect({ host: "127.0.0.1", port: this.#target });
      for (const socket of [near, far]) {
        this.#sockets.add(socket);
        socket.on("error", () => {});
        socket.on("close", () => {
          this.#sockets.delete(socket);
          near.destroy();
          far.destroy();
        });
      }
      near.pipe(far);
      far.pipe(near);
    });
    await new Promise((resolve) =>
      this.#server.listen(this.#port, "127.0.0.1", resolve)
    );
  }

  close() {
    this.cut();
  }
}

/** Fetches what a gateway dumps of its state. */
export function getDump(gateway) {
  return new Promise((resolve, reject) => {
    const sent = request({
      host: "127.0.0.1",
      port: gateway.ports.peers,
      path: "/dump",
      agent: false,
    });
    sent.on("response", async (response) => {
      let text = "";
      for await (const piece of response) text += piece;
      resolve(JSON.parse(text));
    });
    sent.on("error", reject);
    sent.end();
  });
}

/** Sends a request on a kept connection; status 0 if the channel ended. */
export function sendRequest(port, agent, { body, headers, method, path }) {
  return new Promise((resolve) => {
    const sent = request({
      host: "127.0.0.1",
      port,
      path,
      method,
      agent,
      headers: { Host: "shop.example", Key: "key-a", ...headers },
    });
    sent.on("response", async (response) => {
      let text = "";
      try {
        for await (const piece of response) text += piece;
        resolve({
          status: response.statusCode,
          text,
          headers: response.headers,
        });
      } catch {
        resolve({ status: 0, text, headers: response.headers });
      }
    });
    sent.on("error", () => resolve({ status: 0, text: "", headers: {} }));
    sent.end(body);
  });
}
