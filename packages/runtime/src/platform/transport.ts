import { Buffer } from "node:buffer";
import { gunzipSync } from "node:zlib";
import { AppError } from "@jasminetide/core/results";
import {
  parseStoreEpoch,
  StoreEpoch,
  type StorePosition,
} from "@jasminetide/core/store";
import { type Dispatcher, Pool } from "undici";

/** A request to the platform. */
export type PlatformRequest = {
  method: "GET" | "PUT";
  path: string;
  headers?: Record<string, string>;
  body?: string;
  timeoutMs?: number;
  signal?: AbortSignal | undefined;
  /** Epoch of the store that the request relies on. */
  expectedEpoch?: number | undefined;
};

/** Answer of the platform, of any status. */
export type PlatformAnswer = {
  status: number;
  /** Epoch of the answer and the revision that its `ETag` states. */
  position: StorePosition;
  etag: string;
  body: string;
  /** Size of the body as transferred, before decompression. */
  receivedBytes: number;
};

/**
 * Header of answers with the number of times that the store was restored from a
 * copy; in a request, the number that it relies on.
 */
const epochHeader = "store-epoch";

const maxConnections = 8;

/**
 * Connections to the platform. Every answer passes here, so this is where a new
 * epoch of the store is noticed: calls that still wait for the store as it was
 * before are cancelled, and answers of an earlier epoch are dropped.
 */
export class PlatformTransport {
  readonly epoch = StoreEpoch.create();
  readonly #address: string;
  #pool: Pool;
  /** Replaced pools that still carry requests. */
  readonly #retired = new Set<Pool>();
  /** Cancels of the calls whose answer is not complete. */
  readonly #pending = new Set<AbortController>();

  private constructor(address: string) {
    this.#address = address;
    this.#pool = createPool(address);
    this.epoch.subscribe(() => this.#cancelPending());
  }

  /** Creates a transport to `ip:port`; connects on the first request. */
  static create(address: string): PlatformTransport {
    return new PlatformTransport(address);
  }

  /**
   * Sends a request and reads the answer. After one that was not answered in
   * time, the next ones use new connections.
   *
   * @throws AppError `platformUnavailable` for an answer of an earlier epoch, or
   * if a write succeeded in another epoch than expected; the error of the
   * connection or signal otherwise. In each case a write may or may not have
   * taken effect.
   */
  async exchange(
    request: PlatformRequest,
    timeout: AbortSignal,
  ): Promise<PlatformAnswer> {
    const pending = new AbortController();
    const signals = [timeout, pending.signal, request.signal];
    this.#pending.add(pending);
    const pool = this.#pool;
    try {
      const response = await pool.request({
        method: request.method,
        path: request.path,
        headers: createHeaders(request),
        body: request.body,
        signal: AbortSignal.any(
          signals.filter((signal) => signal !== undefined),
        ),
      });
      const epoch = this.#observeEpoch(response, pending);
      const answer = await readAnswer(response, epoch);
      checkExpectedEpoch(request, answer);
      return answer;
    } catch (thrown) {
      if (timeout.aborted) this.#replacePool(pool);
      throw thrown;
    } finally {
      this.#pending.delete(pending);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const pools = [this.#pool, ...this.#retired];
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  /**
   * Replaces a pool of which a connection fell silent, as its other connections
   * may have. Requests that it carries may still be answered.
   */
  #replacePool(pool: Pool): void {
    if (pool !== this.#pool) return;
    this.#pool = createPool(this.#address);
    this.#retired.add(pool);
    const forget = () => void this.#retired.delete(pool);
    pool.close().then(forget, forget);
  }

  #observeEpoch(
    response: Dispatcher.ResponseData,
    pending: AbortController,
  ): number {
    // An answer that states a new epoch cancels all calls but its own.
    this.#pending.delete(pending);
    try {
      const epoch = this.epoch.observe(
        parseStoreEpoch(response.headers[epochHeader]),
      );
      this.#pending.add(pending);
      return epoch;
    } catch (error) {
      response.body.dump().catch(() => {});
      throw error;
    }
  }

  #cancelPending(): void {
    for (const pending of [...this.#pending]) pending.abort();
  }
}

function createPool(address: string): Pool {
  return new Pool(`http://${address}`, { connections: maxConnections });
}

function createHeaders(request: PlatformRequest): Record<string, string> {
  const { expectedEpoch, headers } = request;
  if (expectedEpoch === undefined) return headers ?? {};
  return { ...headers, [epochHeader]: String(expectedEpoch) };
}

async function readAnswer(
  response: Dispatcher.ResponseData,
  epoch: number,
): Promise<PlatformAnswer> {
  const bytes = Buffer.from(await response.body.arrayBuffer());
  const isCompressed = response.headers["content-encoding"] === "gzip";
  const etag = String(response.headers["etag"] ?? "");
  return {
    status: response.statusCode,
    position: { epoch, revision: Number(etag.replaceAll('"', "")) },
    etag,
    body: (isCompressed ? gunzipSync(bytes) : bytes).toString("utf8"),
    receivedBytes: bytes.length,
  };
}

/** A store may have met the condition with an object of another epoch. */
function checkExpectedEpoch(
  request: PlatformRequest,
  answer: PlatformAnswer,
): void {
  const { expectedEpoch, method } = request;
  const { position, status } = answer;
  if (method !== "PUT" || status >= 300) return;
  if (expectedEpoch === undefined || expectedEpoch === position.epoch) return;
  throw AppError.create(
    "platformUnavailable",
    `Write succeeded in epoch ${position.epoch} of the store, ` +
      `expected ${expectedEpoch}`,
  );
}
