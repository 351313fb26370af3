import { Buffer } from "node:buffer";
import { gunzipSync } from "node:zlib";
import { AppError } from "@jasminetide/core/results";
import { Pool } from "undici";
import type { HostRecord, StoredObject } from "./types.ts";
import { WriteLimiter } from "./write_limiter.ts";

/** Name of an object of the platform, unique within its kind. */
export type ObjectName = { kind: string; name: string };

/** Precondition of a write: the version to replace, or no object. */
export type WriteCondition = { version: number } | "absent";

/** Outcome of a write; a `lost` one may or may not have taken effect. */
export type PutResult =
  | { type: "written"; version: number }
  | { type: "conflict"; version: number }
  | { type: "lost" };

/** Address and limits of a client. */
export type PlatformClientOptions = {
  /** `ip:port`. */
  address: string;
  timeoutMs?: number;
  /** Maximum rate of all writes of the process. */
  writesPerSecond?: number;
};

const defaultTimeoutMs = 2000;
const defaultWritesPerSecond = 100;
const maxConnections = 8;

/** Approximate size of a request plus the headers of its answer. */
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

  /** Creates a client; connections are opened on the first request. */
  static create(options: PlatformClientOptions): PlatformClient {
    return new PlatformClient(options);
  }

  /** Gets an object, or undefined if it does not exist. */
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
      () => this.#send(createPutRequest(object, options)),
      "other",
    );
    return answer.version;
  }

  /**
   * Writes an object for money calls if the condition holds. Such writes run
   * before all other waiting writes.
   */
  async putMoney(
    object: ObjectName,
    options: { value: string; condition: WriteCondition; timeoutMs: number },
  ): Promise<PutResult> {
    const request = createPutRequest(object, options);
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

  /**
   * Waits for a version of an object newer than `afterVersion`.
   *
   * @returns undefined after `timeoutMs`, or if the object does not exist.
   */
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

  /** Lists the names and versions of the objects of a kind. */
  async list(kind: string): Promise<{ name: string; version: number }[]> {
    const answer = await this.#send({
      method: "GET",
      path: `/objects/${encodeURIComponent(kind)}`,
    });
    return JSON.parse(answer.body) as { name: string; version: number }[];
  }

  /** Bytes spent on reading host lists, headers included. */
  get hostListBytes(): number {
    return this.#hostListBytes;
  }

  /**
   * Loads the host list, which may lag behind the actual hosts. An unchanged
   * list is not transferred again.
   */
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
    const isCompressed = response.headers["content-encoding"] === "gzip";
    const etag = String(response.headers["etag"] ?? "");
    return {
      status: response.statusCode,
      version: Number(etag.replaceAll('"', "")),
      etag,
      body: (isCompressed ? gunzipSync(bytes) : bytes).toString("utf8"),
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
  /** Size of the body as transferred, before decompression. */
  receivedBytes: number;
};

function createPutRequest(
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
    throw AppError.create(
      "valueTooLarge",
      `Value of ${request.path} is too large`,
    );
  }
  if (answer.status === 429) {
    throw AppError.create(
      "platformLimited",
      `${request.method} ${request.path} exceeded the platform's rate limit`,
    );
  }
  throw AppError.create(
    "platformUnavailable",
    `Platform answered ${answer.status} to ${request.method} ${request.path}`,
  );
}
