import type { IncomingMessage, ServerResponse } from "node:http";
import { AppError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import { readBody, sendJson, sendProblem } from "@jasminetide/runtime/http";
import { ObjectStore, type StoreCondition } from "./object_store.ts";

/** Switches of the faults that the platform shows. */
export type PlatformFaults = {
  outage: boolean;
  slowMs: number;
  /** Share of writes that take effect and whose answer is lost. */
  lostWriteAnswers: number;
};

/** How the object API behaves. */
export type ObjectApiOptions = {
  timers: TimerService;
  getRandom: () => number;
};

const maxValueBytes = 1_048_576;

/** Serves versioned objects over HTTP: `/objects/<kind>/<name>`. */
export class ObjectApi {
  readonly store = ObjectStore.create();
  readonly faults: PlatformFaults = {
    outage: false,
    slowMs: 0,
    lostWriteAnswers: 0,
  };
  readonly #options: ObjectApiOptions;

  private constructor(options: ObjectApiOptions) {
    this.#options = options;
  }

  /** Creates an empty object API. */
  static create(options: ObjectApiOptions): ObjectApi {
    return new ObjectApi(options);
  }

  /** Handles one request below `/objects/`. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      await this.#delay();
      if (this.faults.outage) {
        request.socket.destroy();
        return;
      }
      await this.#dispatch(request, response);
    } catch (error) {
      sendProblem(response, error);
    }
  }

  async #dispatch(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://platform");
    const path = decodeURIComponent(url.pathname.slice("/objects/".length));
    if (request.method === "PUT") {
      await this.#put(path, request, response);
    } else if (!path.includes("/")) {
      this.#list(path, response);
    } else if (url.searchParams.has("watch")) {
      this.#watch(path, url.searchParams, response);
    } else {
      this.#get(path, response);
    }
  }

  #get(path: string, response: ServerResponse): void {
    const row = this.store.get(path);
    if (row === undefined) {
      throw AppError.create("notFound", `No object "${path}"`);
    }
    sendValue(response, row);
  }

  #list(kind: string, response: ServerResponse): void {
    const rows = this.store.list(`${kind}/`).map(({ path, version }) => ({
      name: path.slice(kind.length + 1),
      version,
    }));
    sendJson(response, rows);
  }

  async #put(
    path: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request, maxValueBytes);
    const write = this.store.put(
      path,
      body.toString("utf8"),
      getCondition(request),
    );
    if (this.#options.getRandom() < this.faults.lostWriteAnswers) {
      request.socket.destroy();
      return;
    }
    response.writeHead(write.type === "written" ? 200 : 412, {
      etag: `"${write.version}"`,
    });
    response.end();
  }

  #watch(
    path: string,
    parameters: URLSearchParams,
    response: ServerResponse,
  ): void {
    const after = Number(parameters.get("after") ?? "0");
    const row = this.store.get(path);
    if (row !== undefined && row.version > after) {
      sendValue(response, row);
      return;
    }
    this.#wait(path, Number(parameters.get("timeoutMs") ?? "10000"), response);
  }

  #wait(path: string, timeoutMs: number, response: ServerResponse): void {
    const finish = () => {
      listener[Symbol.dispose]();
      timer[Symbol.dispose]();
      const row = this.store.get(path);
      if (row === undefined || this.faults.outage) {
        response.writeHead(304).end();
      } else sendValue(response, row);
    };
    const listener = this.store.subscribe(path, finish);
    const timer = this.#options.timers.schedule(timeoutMs, () => {
      listener[Symbol.dispose]();
      response.writeHead(304).end();
    });
    response.on("close", () => {
      listener[Symbol.dispose]();
      timer[Symbol.dispose]();
    });
  }

  #delay(): Promise<void> {
    const { slowMs } = this.faults;
    if (slowMs === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#options.timers.schedule(slowMs, () => resolve());
    });
  }
}

function sendValue(
  response: ServerResponse,
  row: { version: number; value: string },
): void {
  response.writeHead(200, {
    "content-type": "application/json",
    etag: `"${row.version}"`,
  });
  response.end(row.value);
}

function getCondition(request: IncomingMessage): StoreCondition {
  if (request.headers["if-none-match"] === "*") return "absent";
  const match = request.headers["if-match"];
  if (match === undefined) return "any";
  return { version: Number(match.replaceAll('"', "")) };
}
