import { AppError } from "@jasminetide/core/results";
import type {
  StorePosition,
  StoreRestoredListener,
} from "@jasminetide/core/store";
import {
  type PlatformAnswer,
  type PlatformRequest,
  PlatformTransport,
} from "./transport.ts";
import type { HostRecord, StoredObject } from "./types.ts";
import { WriteLimiter } from "./write_limiter.ts";

/** Name of an object of the platform, unique within its kind. */
export type ObjectName = { kind: string; name: string };

/** Precondition of a write: the position to replace, or no object. */
export type WriteCondition = { position: StorePosition } | "absent";

/** Outcome of a write; a `lost` one may or may not have taken effect. */
export type PutResult =
  | { type: "written"; position: StorePosition }
  | { type: "conflict"; position: StorePosition }
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

/** Approximate size of a request plus the headers of its answer. */
const headerBytes = 400;

/** Client of the platform's object API and host list. */
export class PlatformClient {
  readonly #transport: PlatformTransport;
  readonly #timeoutMs: number;
  readonly #limiter: WriteLimiter;

  #hosts: { etag: string; list: HostRecord[] } = { etag: "", list: [] };
  #hostListBytes = 0;

  private constructor(options: PlatformClientOptions) {
    this.#transport = PlatformTransport.create(options.address);
    this.#timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
    this.#limiter = WriteLimiter.create({
      writesPerSecond: options.writesPerSecond ?? defaultWritesPerSecond,
    });
  }

  /** Creates a client; connections are opened on the first request. */
  static create(options: PlatformClientOptions): PlatformClient {
    return new PlatformClient(options);
  }

  /** Latest epoch of the store that an answer has stated. */
  get epoch(): number {
    return this.#transport.epoch.current;
  }

  /**
   * Calls the listener once for each new epoch of the store. What the listener's
   * owner has read or written before may be gone, and revisions start over.
   */
  subscribeRestored(listener: StoreRestoredListener): Disposable {
    return this.#transport.epoch.subscribe(listener);
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
   * @returns the new position.
   * @throws AppError `versionConflict` when the condition fails, also because
   * the store was restored since; `platformUnavailable` when the write may or may not have taken effect.
   */
  async put(
    object: ObjectName,
    options: { value: string; condition: WriteCondition },
  ): Promise<StorePosition> {
    const epoch = this.#getKnownEpoch();
    const answer = await this.#limiter.run(
      () => this.#send(createPutRequest(object, { ...options, epoch })),
      "other",
    );
    return answer.position;
  }

  /**
   * Writes an object for money calls if the condition holds. Such writes run
   * before all other waiting writes.
   */
  async putMoney(
    object: ObjectName,
    options: { value: string; condition: WriteCondition; timeoutMs: number },
  ): Promise<PutResult> {
    const epoch = this.#getKnownEpoch();
    const request = createPutRequest(object, { ...options, epoch });
    try {
      const { position, status } = await this.#limiter.run(
        () =>
          this.#transport.exchange(
            request,
            AbortSignal.timeout(options.timeoutMs),
          ),
        "money",
      );
      if (status === 412) return { type: "conflict", position };
      if (status >= 300) return { type: "lost" };
      return { type: "written", position };
    } catch {
      return { type: "lost" };
    }
  }

  /**
   * Waits for a later state of an object than at the position `after`. If the
   * store was restored since, or lacks that position, gets the object as it is.
   *
   * @returns undefined after `timeoutMs`, or if the object does not exist.
   */
  async watch(
    object: ObjectName,
    options: { after: StorePosition; timeoutMs: number; signal?: AbortSignal },
  ): Promise<StoredObject | undefined> {
    const { after, signal, timeoutMs } = options;
    const answer = await this.#send({
      method: "GET",
      path: `${getPath(object)}?watch=1&after=${after.revision}` +
        `&timeoutMs=${timeoutMs}`,
      timeoutMs: timeoutMs + this.#timeoutMs,
      signal,
      expectedEpoch: after.epoch,
    });
    if (answer.status === 410) return this.get(object);
    if (answer.status === 304 || answer.status === 404) return undefined;
    return parseObject(answer);
  }

  /** Lists the names and positions of the objects of a kind. */
  async list(
    kind: string,
  ): Promise<{ name: string; position: StorePosition }[]> {
    const answer = await this.#send({
      method: "GET",
      path: `/objects/${encodeURIComponent(kind)}`,
    });
    const { epoch } = answer.position;
    const rows = JSON.parse(answer.body) as { name: string; version: number }[];
    return rows.map(({ name, version }) => ({
      name,
      position: { epoch, revision: version },
    }));
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
    await this.#transport[Symbol.asyncDispose]();
  }

  #getKnownEpoch(): number | undefined {
    const { epoch } = this.#transport;
    return epoch.isKnown ? epoch.current : undefined;
  }

  async #send(request: PlatformRequest): Promise<PlatformAnswer> {
    const timeout = AbortSignal.timeout(request.timeoutMs ?? this.#timeoutMs);
    let answer: PlatformAnswer;
    try {
      answer = await this.#transport.exchange(request, timeout);
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
}

function createPutRequest(
  object: ObjectName,
  options: {
    value: string;
    condition: WriteCondition;
    epoch: number | undefined;
  },
): PlatformRequest {
  const { condition, epoch, value } = options;
  return {
    method: "PUT",
    path: getPath(object),
    body: value,
    headers: condition === "absent"
      ? { "if-none-match": "*" }
      : { "if-match": `"${condition.position.revision}"` },
    expectedEpoch: condition === "absent" ? epoch : condition.position.epoch,
  };
}

function getPath(object: ObjectName): string {
  return `/objects/${encodeURIComponent(object.kind)}/` +
    encodeURIComponent(object.name);
}

function parseObject(answer: PlatformAnswer): StoredObject {
  return { position: answer.position, value: answer.body };
}

function checkAnswer(request: PlatformRequest, answer: PlatformAnswer): void {
  if (answer.status < 400) return;
  if (answer.status === 404 || answer.status === 410) return;
  if (answer.status === 412) {
    throw AppError.create(
      "versionConflict",
      `${request.path} is at version ${answer.position.revision}`,
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
