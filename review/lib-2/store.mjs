/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. */
import { createServer } from "node:http";

const pageSize = 500;

/** Objects by kind and name, with one revision counter, over HTTP. */
export class Store {
  #objects = new Map();
  #history = [];
  #watches = new Set();
  #revision = 1;
  #server;

  constructor() {
    this.#server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  async listen() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return this.#server.address().port;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Creates or replaces an object; returns when the store has accepted it. */
  put(kind, name, spec) {
    this.#revision += 1;
    const object = {
      Metadata: { Name: name, Revision: this.#revision, Finalizers: [] },
      Spec: spec,
      Status: {},
    };
    this.#objects.set(`${kind}/${name}`, { kind, name, object });
    this.#record({ kind, object, isDeleted: false });
  }

  /** Removes an object. */
  remove(kind, name) {
    const entry = this.#objects.get(`${kind}/${name}`);
    if (entry === undefined) return;
    this.#objects.delete(`${kind}/${name}`);
    this.#revision += 1;
    const { object } = entry;
    const removed = {
      ...object,
      Metadata: { ...object.Metadata, Revision: this.#revision },
    };
    this.#record({ kind, object: removed, isDeleted: true });
  }

  /**
   * Cuts off the watches that are waiting, which the store may do at any time.
   * Returns how many there were.
   */
  cutWatches(kind) {
    let count = 0;
    for (const watch of [...this.#watches]) {
      if (kind !== undefined && watch.kind !== kind) continue;
      this.#watches.delete(watch);
      clearTimeout(watch.timer);
      watch.response.socket?.destroy();
      count += 1;
    }
    return count;
  }

  #record(change) {
    this.#history.push({ ...change, revision: this.#revision });
    for (const watch of [...this.#watches]) {
      if (watch.kind === change.kind) this.#answerWatch(watch);
    }
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString("utf8");
    const url = new URL(request.url, "http://store");
    const [, , , kind, encodedName] = url.pathname.split("/");
    const name = encodedName && decodeURIComponent(encodedName);
    const send = (status, value) => {
      response.writeHead(status, {
        "Content-Type": "application/json",
        "Store-Era": "1",
      });
      response.end(JSON.stringify(value));
    };
    switch (request.method) {
      case "GET":
        if (url.searchParams.has("Watch")) {
          this.#watch(kind, url.searchParams, response);
        } else if (name === undefined) {
          send(200, this.#list(kind, url.searchParams.get("After") ?? ""));
        } else {
          const entry = this.#objects.get(`${kind}/${name}`);
          send(entry ? 200 : 404, entry?.object ?? {});
        }
        return;
      case "POST": {
        const { Metadata, Spec } = JSON.parse(text);
        const entry = this.#objects.get(`${kind}/${Metadata.Name}`);
        if (entry !== undefined) return send(409, entry.object);
        this.put(kind, Metadata.Name, Spec);
        return send(201, this.#objects.get(`${kind}/${Metadata.Name}`).object);
      }
      case "PUT": {
        if (!this.#objects.has(`${kind}/${name}`)) return send(404, {});
        this.put(kind, name, JSON.parse(text).Spec);
        return send(200, this.#objects.get(`${kind}/${name}`).object);
      }
      case "DELETE":
        if (!this.#objects.has(`${kind}/${name}`)) return send(404, {});
        this.remove(kind, name);
        return send(200, {});
      default:
        send(405, {});
    }
  }

  #list(kind, after) {
    const rest = [...this.#objects.values()]
      .filter((entry) => entry.kind === kind && entry.name > after)
      .sort((left, right) => left.name < right.name ? -1 : 1);
    return {
      Entries: rest.slice(0, pageSize).map(({ object }) => object),
      HasMore: rest.length > pageSize,
      StoreRevision: this.#revision,
    };
  }

  #watch(kind, query, response) {
    const watch = { kind, since: Number(query.get("Watch")), response };
    const waitMs = Math.min(30_000, Number(query.get("WaitMs")));
    watch.timer = setTimeout(() => this.#answerWatch(watch, true), waitMs);
    this.#watches.add(watch);
    response.on("close", () => {
      clearTimeout(watch.timer);
      this.#watches.delete(watch);
    });
    this.#answerWatch(watch);
  }

  #answerWatch(watch, isOver = false) {
    const events = this.#history
      .filter(({ kind, revision }) =>
        kind === watch.kind && revision > watch.since
      )
      .map(({ object, isDeleted }) => ({ Object: object, Deleted: isDeleted }));
    if (events.length === 0 && !isOver) return;
    clearTimeout(watch.timer);
    this.#watches.delete(watch);
    watch.response.writeHead(200, {
      "Content-Type": "application/json",
      "Store-Era": "1",
    });
    watch.response.end(
      JSON.stringify({ events, StoreRevision: this.#revision }),
    );
  }
}
