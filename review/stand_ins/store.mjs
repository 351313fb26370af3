/** Stand-in of the platform's metadata store, in the memory of its process. */
import { once } from "node:events";
import { createServer } from "node:http";
import { isDeepStrictEqual } from "node:util";
import { listen, parseAddress, readText } from "./net_tools.mjs";

/** Longest wait of a watch, in milliseconds. */
const maxWaitMs = 30_000;

/** Objects by kind and name, with one revision counter, lists and watches. */
export class Store {
  #objects = new Map();
  #changes = [];
  #revision = 1;
  /** Watches from an earlier revision are answered as expired. */
  #oldestRevision = 0;
  /** Number of the copy that the store runs on, from 1. */
  #era = 1;
  #isHushed = false;
  #record;
  #waiting = new Set();
  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  /** Starts a store on a free port of the loopback interface. */
  static async create({ record }) {
    const store = new Store();
    store.#record = record;
    store.address = await listen(store.#server);
    return store;
  }

  /** Writes an object as the operator or a runner would. */
  put(kind, name, spec) {
    const known = this.#objects.get(`${kind}/${name}`);
    if (isDeepStrictEqual(known?.Spec, spec)) return;
    this.#revision += 1;
    const object = {
      Metadata: { Name: name, Revision: this.#revision },
      Spec: spec,
    };
    this.#objects.set(`${kind}/${name}`, object);
    this.#publish({ kind, Object: object, Deleted: false });
  }

  /** Removes an object. */
  remove(kind, name) {
    const object = this.#objects.get(`${kind}/${name}`);
    if (object === undefined) return;
    this.#revision += 1;
    this.#objects.delete(`${kind}/${name}`);
    const Metadata = { ...object.Metadata, Revision: this.#revision };
    this.#publish({ kind, Object: { ...object, Metadata }, Deleted: true });
  }

  /** Copies all objects, for a later restore. */
  takeCopy() {
    return { objects: new Map(this.#objects), revision: this.#revision };
  }

  /** Stops answering: connections are closed and refused. */
  async goAway() {
    const closed = once(this.#server, "close");
    this.#server.close();
    this.#server.closeAllConnections();
    await closed;
  }

  /** Comes back from a copy, as the next era. */
  async comeBack({ objects, revision }) {
    this.#objects = new Map(objects);
    this.#changes = [];
    this.#revision = revision;
    this.#oldestRevision = revision;
    this.#era += 1;
    const { host, port } = parseAddress(this.address);
    this.#server.listen(port, host);
    await once(this.#server, "listening");
  }

  /** Lets watches hear nothing until the history is forgotten. */
  hush() {
    this.#isHushed = true;
  }

  /** Forgets the history and cuts the watches that wait. */
  forgetHistory() {
    this.#isHushed = false;
    this.#changes = [];
    this.#oldestRevision = this.#revision;
    for (const { cut } of [...this.#waiting]) cut();
  }

  #publish(change) {
    this.#changes.push({ ...change, revision: this.#revision });
    if (this.#isHushed) return;
    for (const { check } of [...this.#waiting]) check();
  }

  async #handle(request, response) {
    response.setHeader("Store-Era", String(this.#era));
    const url = new URL(request.url, "http://store");
    const [, , , kind, encodedName] = url.pathname.split("/");
    const name = decodeURIComponent(encodedName ?? "");
    if (request.method === "GET") {
      if (url.searchParams.has("Watch")) this.#watch(kind, url, response);
      else this.#list(kind, url, response);
      return;
    }
    const body = await readText(request);
    if (request.method === "DELETE") {
      this.remove(kind, name);
      sendJson(response, 200, {});
      return;
    }
    this.#write(request.method, { kind, name, body }, response);
  }

  #write(method, { kind, name, body }, response) {
    const { Metadata, Spec } = JSON.parse(body);
    const target = name === "" ? Metadata.Name : name;
    const known = this.#objects.get(`${kind}/${target}`);
    if (method === "POST" && known !== undefined) {
      sendJson(response, 409, known);
    } else if (method === "PUT" && known === undefined) {
      sendJson(response, 404, {});
    } else {
      this.put(kind, target, Spec);
      sendJson(response, 200, this.#objects.get(`${kind}/${target}`));
    }
  }

  #list(kind, url, response) {
    const after = url.searchParams.get("After") ?? "";
    const Entries = [...this.#objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object)
      .filter(({ Metadata }) => Metadata.Name > after)
      .sort((a, b) => a.Metadata.Name < b.Metadata.Name ? -1 : 1);
    sendJson(response, 200, {
      Entries,
      HasMore: false,
      StoreRevision: this.#revision,
    });
  }

  #watch(kind, url, response) {
    const since = Number(url.searchParams.get("Watch"));
    const waitMs = Math.min(
      maxWaitMs,
      Number(url.searchParams.get("WaitMs") ?? 0),
    );
    if (since < this.#oldestRevision || since > this.#revision) {
      sendJson(response, 410, {});
      return;
    }
    const listEvents = () =>
      this.#isHushed ? [] : this.#changes
        .filter((each) => each.kind === kind && each.revision > since)
        .map(({ Object, Deleted }) => ({ Object, Deleted }));
    const finish = () => {
      stop();
      const StoreRevision = this.#isHushed ? since : this.#revision;
      const events = listEvents();
      sendJson(response, 200, { events, StoreRevision });
      for (const { Deleted, Object } of events) {
        const { Name } = Object.Metadata;
        if (Deleted) this.#record({ event: "told-of-removal", name: Name });
      }
    };
    const waiting = {
      check: () => {
        if (listEvents().length > 0) finish();
      },
      cut: () => {
        stop();
        response.destroy();
      },
    };
    const timer = setTimeout(finish, waitMs);
    const stop = () => {
      clearTimeout(timer);
      this.#waiting.delete(waiting);
    };
    this.#waiting.add(waiting);
    response.on("close", stop);
    waiting.check();
  }
}

function sendJson(response, status, value) {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": String(new TextEncoder().encode(text).length),
  });
  response.end(text);
}
