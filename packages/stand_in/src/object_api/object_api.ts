import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { AppError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import { readBody, sendJson, sendProblem } from "@jasminetide/runtime/http";
import {
  ObjectStore,
  type StoreCondition,
  type StoreRow,
  type StoreWriteResult,
} from "./object_store.ts";
import {
  type CallCounts,
  type CallRates,
  RateLimiter,
} from "./rate_limiter.ts";

/** Faults injected into the platform. */
export type PlatformFaults = {
  /** Closes connections without an answer. */
  outage: boolean;
  /** Delay before a call of the object API is handled. */
  slowMs: number;
  /** Share of writes that take effect but whose answer is lost. */
  lostWriteAnswers: number;
  /** Share of reads that return an object as it was before its last write. */
  staleReads: number;
};

/** Options of the object API. */
export type ObjectApiOptions = {
  timers: TimerService;
  getRandom: () => number;
  /** Rate limits; without them, rates are unlimited. */
  rates?: CallRates;
};

/**
 * Header of answers with the number of times that the store was restored from a
 * copy; in a write or watch, the number that the caller expects.
 */
const epochHeader = "store-epoch";

const retryAfterMs = 1000;

const maxValueBytes = 1_048_576;

/** Serves versioned objects over HTTP: `/objects/<kind>/<name>`. */
export class ObjectApi {
  readonly store = ObjectStore.create();
  readonly faults: PlatformFaults = {
    outage: false,
    slowMs: 0,
    lostWriteAnswers: 0,
    staleReads: 0,
  };
  readonly #options: ObjectApiOptions;
  readonly #rateLimiter: RateLimiter;

  private constructor(options: ObjectApiOptions) {
    this.#options = options;
    this.#rateLimiter = RateLimiter.create(
      options.rates ?? { readsPerSecond: Infinity, writesPerSecond: Infinity },
    );
  }

  /** Creates an empty object API. */
  static create(options: ObjectApiOptions): ObjectApi {
    return new ObjectApi(options);
  }

  /** Number of calls accepted and refused since the start. */
  get counts(): CallCounts {
    return this.#rateLimiter.counts;
  }

  /** Handles a request with a path below `/objects/`. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      await this.#delay();
      this.stateEpoch(response);
      if (this.faults.outage) {
        request.socket.destroy();
        return;
      }
      await this.#dispatch(request, response);
    } catch (error) {
      sendProblem(response, error);
    }
  }

  /** States the current epoch of the store in the head of an answer. */
  stateEpoch(response: ServerResponse): void {
    response.setHeader(epochHeader, String(this.store.epoch));
  }

  /**
   * Counts a call against the rate limits.
   *
   * @throws AppError `platformLimited`.
   */
  checkRate(kind: "read" | "write"): void {
    if (this.#rateLimiter.tryTake(kind, this.#options.timers.nowMs())) return;
    throw AppError.create("platformLimited", `Too many ${kind}s per second`, {
      retryAfterMs,
    });
  }

  async #dispatch(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://platform");
    const path = decodeURIComponent(url.pathname.slice("/objects/".length));
    this.checkRate(request.method === "GET" ? "read" : "write");
    if (request.method === "PUT") {
      await this.#put(path, request, response);
    } else if (request.method === "DELETE") {
      this.#answerWrite(
        this.#isEpochExpected(request)
          ? this.store.delete(path, getCondition(request))
          : this.#createConflict(path),
        { request, response },
      );
    } else if (!path.includes("/")) {
      this.#list(path, response);
    } else if (url.searchParams.has("watch")) {
      const hasHistory = this.#isEpochExpected(request) &&
        Number(url.searchParams.get("after") ?? "0") <= this.store.version;
      if (hasHistory) this.#watch(path, url.searchParams, response);
      else response.writeHead(410).end();
    } else {
      this.#get(path, response);
    }
  }

  #get(path: string, response: ServerResponse): void {
    const isStale = this.#options.getRandom() < this.faults.staleReads;
    const row = isStale ? this.store.getStale(path) : this.store.get(path);
    if (row === undefined) {
      throw AppError.create("notFound", `No object "${path}"`);
    }
    this.#sendValue(response, row);
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
    const result = this.#isEpochExpected(request)
      ? this.store.put(path, body.toString("utf8"), getCondition(request))
      : this.#createConflict(path);
    this.counts.writtenBytes += body.length;
    this.#answerWrite(result, { request, response });
  }

  /** Whether the store is in the epoch that the call expects, if any. */
  #isEpochExpected(request: IncomingMessage): boolean {
    const expected = request.headers[epochHeader];
    return expected === undefined || expected === String(this.store.epoch);
  }

  #createConflict(path: string): StoreWriteResult {
    return { type: "conflict", version: this.store.get(path)?.version ?? 0 };
  }

  #answerWrite(
    result: StoreWriteResult,
    exchange: { request: IncomingMessage; response: ServerResponse },
  ): void {
    const { request, response } = exchange;
    if (this.#options.getRandom() < this.faults.lostWriteAnswers) {
      request.socket.destroy();
      return;
    }
    this.stateEpoch(response);
    response.writeHead(result.type === "written" ? 200 : 412, {
      etag: `"${result.version}"`,
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
      this.#sendValue(response, row);
      return;
    }
    this.#waitForChange(
      path,
      Number(parameters.get("timeoutMs") ?? "10000"),
      response,
    );
  }

  #waitForChange(
    path: string,
    timeoutMs: number,
    response: ServerResponse,
  ): void {
    const finish = () => {
      subscription[Symbol.dispose]();
      timer[Symbol.dispose]();
      const row = this.store.get(path);
      this.stateEpoch(response);
      if (this.faults.outage) response.destroy();
      else if (row === undefined) response.writeHead(404).end();
      else this.#sendValue(response, row);
    };
    const subscription = this.store.subscribe(path, finish);
    const timer = this.#options.timers.schedule(timeoutMs, () => {
      subscription[Symbol.dispose]();
      response.writeHead(304).end();
    });
    response.on("close", () => {
      subscription[Symbol.dispose]();
      timer[Symbol.dispose]();
    });
  }

  #sendValue(response: ServerResponse, row: StoreRow): void {
    this.counts.readBytes += Buffer.byteLength(row.value);
    response.writeHead(200, {
      "content-type": "application/json",
      etag: `"${row.version}"`,
    });
    response.end(row.value);
  }

  #delay(): Promise<void> {
    const { slowMs } = this.faults;
    if (slowMs === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#options.timers.schedule(slowMs, () => resolve());
    });
  }
}

function getCondition(request: IncomingMessage): StoreCondition {
  if (request.headers["if-none-match"] === "*") return "absent";
  const match = request.headers["if-match"];
  if (match === undefined) return "any";
  return { version: Number(match.replaceAll('"', "")) };
}
