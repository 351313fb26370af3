import { Buffer } from "node:buffer";
import { gunzipSync } from "node:zlib";
import { AppError } from "@jasminetide/core/results";
import { Pool } from "undici";
import type { HostRecord, StoredObject } from "./types.ts";
import { WriteLimiter } from "./write_limiter.ts";

/** Where an object stands. */
export type ObjectName = { kind: string; name: string };

/** What a write expects: a version to replace, or that nothing is there. */
export type WriteCondition = { version: number } | "absent";

/** What became of a write; `lost` may or may not have taken effect. */
export type PutResult =
  | { type: "written"; version: number }
  | { type: "conflict"; version: number }
  | { type: "lost" };

/** How the client talks to the platform. */
export type PlatformClientOptions = {
  /** `ip:port`. */
  address: string;
  timeoutMs?: number;
  /** Bound of all writes of the process. */
  writesPerSecond?: number;
};

const defaultTimeoutMs = 2000;
const defaultWritesPerSecond = 100;
const maxConnections = 8;

/** Bytes of a request and of the headers of its answer, roughly. */
const headerBytes = 400;

/** Client of the platform's object API and host list. */
export class PlatformClient {
  readonly #pool: Pool;
  readonly #timeoutMs: number;
  readonly #limiter: WriteLimiter;

  #hosts: { etag: string; list: HostRecord[] } = { etag: "", list: [] };
  #hostListBytes = 0;

  private constructor(options: PlatformClientOptions) {
    this.#pool = new Pool(`http://${options.address}`, {
      connections: maxConnections,
    });
    this.#timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
    this.#limiter = WriteLimiter.create({
      writesPerSecond: options.writesPerSecond ?? defaultWritesPerSecond,
    });
  }

  /** Creates a client; nothing is sent yet. */
  static create(options: PlatformClientOptions): PlatformClient {
    return new PlatformClient(options);
  }

  /** Gets an object, or undefined where there is none. */
  async get(object: ObjectName): Promise<StoredObject | undefined> {
    const answer = await this.#send({ method: "GET", path: getPath(object) });
    if (answer.status === 404) return undefined;
    return parseObject(answer);
  }

  /**
   * Writes an object if the condition holds.
   *
   * @returns the new version.
   * @throws AppError `versionConflict` when the condition fails, and
   * `platformUnavailable` when the write may or may not have taken effect.
   */
  async put(
    object: ObjectName,
    options: { value: string; condition: WriteCondition },
  ): Promise<number> {
    const answer = await this.#limiter.run(
      () => this.#send(createPut(object, options)),
      "other",
    );
    return answer.version;
  }

  /**
   * Writes an object if the condition holds, before all writes that are not of
   * money calls.
   */
  async putMoney(
    object: ObjectName,
    options: { value: string; condition: WriteCondition; timeoutMs: number },
  ): Promise<PutResult> {
    const request = createPut(object, options);
    try {
      const answer = await this.#limiter.run(
        () => this.#exchange(request, AbortSignal.timeout(options.timeoutMs)),
        "money",
      );
      if (answer.status === 412) {
        return { type: "conflict", version: answer.version };
      }
      if (answer.status >= 300) return { type: "lost" };
      return { type: "written", version: answer.version };
    } catch {
      return { type: "lost" };
    }
  }

  /** Waits until an object is newer than `afterVersion`, or times out. */
  async watch(
    object: ObjectName,
    options: { afterVersion: number; timeoutMs: number; signal?: AbortSignal },
  ): Promise<StoredObject | undefined> {
    const query = `?watch=1&after=${options.afterVersion}` +
      `&timeoutMs=${options.timeoutMs}`;
    const answer = await this.#send({
      method: "GET",
      path: getPath(object) + query,
      timeoutMs: options.timeoutMs + this.#timeoutMs,
      signal: options.signal,
    });
    if (answer.status === 304 || answer.status === 404) return undefined;
    return parseObject(answer);
  }

  /** Lists the names and versions of a kind. */
  async list(kind: string): Promise<{ name: string; version: number }[]> {
    const answer = await this.#send({
      method: "GET",
      path: `/objects/${encodeURIComponent(kind)}`,
    });
    return JSON.parse(answer.body) as { name: string; version: number }[];
  }

  /** Bytes of host lists received, headers included. */
  get hostListBytes(): number {
    return this.#hostListBytes;
  }

  /** Loads the host list, which lags; it is fetched only when it changed. */
  async loadHosts(): Promise<HostRecord[]> {
    const answer = await this.#send({
      method: "GET",
      path: "/hosts",
      headers: {
        "accept-encoding": "gzip",
        ...(this.#hosts.etag === ""
          ? {}
          : { "if-none-match": this.#hosts.etag }),
      },
    });
    this.#hostListBytes += answer.receivedBytes + headerBytes;
    if (answer.status !== 304) {
      this.#hosts = {
        etag: answer.etag,
        list: JSON.parse(answer.body) as HostRecord[],
      };
    }
    return this.#hosts.list;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#pool.destroy();
  }

  async #send(request: PlatformRequest): Promise<PlatformAnswer> {
    const timeout = AbortSignal.timeout(request.timeoutMs ?? this.#timeoutMs);
    let answer: PlatformAnswer;
    try {
      answer = await this.#exchange(request, timeout);
    } catch (error) {
      throw AppError.create(
        "platformUnavailable",
        `Platform did not answer ${request.method} ${request.path}`,
        { cause: error },
      );
    }
    checkAnswer(request, answer);
    return answer;
  }

  async #exchange(
    request: PlatformRequest,
    timeout: AbortSignal,
  ): Promise<PlatformAnswer> {
    const signal = request.signal === undefined
      ? timeout
      : AbortSignal.any([timeout, request.signal]);
    const response = await this.#pool.request({
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      signal,
    });
    const bytes = Buffer.from(await response.body.arrayBuffer());
    const isPacked = response.headers["content-encoding"] === "gzip";
    const etag = String(response.headers["etag"] ?? "");
    return {
      status: response.statusCode,
      version: Number(etag.replaceAll('"', "")),
      etag,
      body: (isPacked ? gunzipSync(bytes) : bytes).toString("utf8"),
      receivedBytes: bytes.length,
    };
  }
}

type PlatformRequest = {
  method: "GET" | "PUT";
  path: string;
  headers?: Record<string, string>;
  body?: string;
  timeoutMs?: number;
  signal?: AbortSignal | undefined;
};

type PlatformAnswer = {
  status: number;
  version: number;
  etag: string;
  body: string;
  /** Bytes of the body as received. */
  receivedBytes: number;
};

function createPut(
  object: ObjectName,
  options: { value: string; condition: WriteCondition },
): PlatformRequest {
  const { condition, value } = options;
  return {
    method: "PUT",
    path: getPath(object),
    body: value,
    headers: condition === "absent"
      ? { "if-none-match": "*" }
      : { "if-match": `"${condition.version}"` },
  };
}

function getPath(object: ObjectName): string {
  return `/objects/${encodeURIComponent(object.kind)}/` +
    encodeURIComponent(object.name);
}

function parseObject(answer: PlatformAnswer): StoredObject {
  return { version: answer.version, value: answer.body };
}

function checkAnswer(request: PlatformRequest, answer: PlatformAnswer): void {
  if (answer.status < 400 || answer.status === 404) return;
  if (answer.status === 412) {
    throw AppError.create(
      "versionConflict",
      `${request.path} is at version ${answer.version}`,
    );
  }
  if (answer.status === 413) {
    throw AppError.create("valueTooLarge", `${request.path} is too large`);
  }
  if (answer.status === 429) {
    throw AppError.create("platformLimited", `${request.path} was limited`);
  }
  throw AppError.create(
    "platformUnavailable",
    `Platform answered ${answer.status} to ${request.method} ${request.path}`,
  );
}
