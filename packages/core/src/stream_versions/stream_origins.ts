import { streamMemoryMs } from "./version_history.ts";

/** Service and software version that began a stream. */
export type StreamOrigin = { service: string; softwareVersion: string };

/** Origin of a stream, by the caller's attempt that brought its first event. */
export type NamedOrigin = StreamOrigin & { firstAttemptId: string };

/** Origin of a stream that this router relays. */
export type OwnOrigin = NamedOrigin & {
  /** Request for a write by which other routers learn of it, if there is one. */
  request?: number;
};

type Entry = OwnOrigin & { untilMs: number };

/** Origins of streams that may still be taken up; the oldest are forgotten. */
export class StreamOrigins {
  readonly #entries = new Map<string, Entry>();

  private constructor() {}

  /** Creates an empty table. */
  static create(): StreamOrigins {
    return new StreamOrigins();
  }

  /** Records the origin of a stream that has begun or goes on. */
  record(origin: OwnOrigin, nowMs: number): void {
    this.#entries.delete(origin.firstAttemptId);
    this.#entries.set(origin.firstAttemptId, {
      ...origin,
      untilMs: nowMs + streamMemoryMs,
    });
    this.#expire(nowMs);
  }

  /** Records that a stream was sent to its end. */
  complete(firstAttemptId: string, nowMs: number): void {
    const entry = this.#entries.get(firstAttemptId);
    if (entry !== undefined) entry.untilMs = nowMs + completeMs;
  }

  /** Finds the origin of a stream. */
  find(firstAttemptId: string): OwnOrigin | undefined {
    return this.#entries.get(firstAttemptId);
  }

  /** Lists the origins of streams that may still be taken up. */
  list(nowMs: number): NamedOrigin[] {
    return [...this.#entries.values()]
      .filter(({ untilMs }) => untilMs > nowMs);
  }

  #expire(nowMs: number): void {
    for (const [id, { untilMs }] of this.#entries) {
      if (untilMs > nowMs && this.#entries.size <= maxEntries) return;
      this.#entries.delete(id);
    }
  }
}

/** Time in which a caller may lack the end of a stream that was sent. */
const completeMs = 5000;

const maxEntries = 20_000;
