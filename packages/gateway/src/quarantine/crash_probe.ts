import { normalizeError } from "@jasminetide/core/results";
import { type TimerService, wait } from "@jasminetide/core/timers";
import type {
  RunnerConnection,
  RunnerRecord,
  Upstream,
} from "../upstreams/mod.ts";

/** What an attempt to connect tells about a runner's process. */
export type ProcessState =
  /** Its port refuses connections. */
  | "gone"
  /** The same, but it accepted a connection shortly before. */
  | "goneSince"
  | "alive"
  /** No answer in time, or another error. */
  | "unknown";

/**
 * Finds out whether a runner that broke off an answer has crashed, by opening a
 * connection to it.
 */
export class CrashProbe {
  readonly #timers: TimerService;
  /** Probes under way, by process. */
  readonly #probes = new Map<string, Promise<ProcessState>>();

  private constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /** Creates a probe. */
  static create(timers: TimerService): CrashProbe {
    return new CrashProbe(timers);
  }

  /** Probes a runner's process; calls at the same time share one connection. */
  probe(upstream: Upstream): Promise<ProcessState> {
    const key = formatProcessKey(upstream.record);
    const current = this.#probes.get(key);
    if (current !== undefined) return current;
    const probe = this.#probe(upstream)
      .finally(() => this.#probes.delete(key));
    this.#probes.set(key, probe);
    return probe;
  }

  async #probe(upstream: Upstream): Promise<ProcessState> {
    const first = await openConnection(upstream);
    if (typeof first === "string") return first;
    // A process that is ending may still accept connections.
    await wait(this.#timers, settleMs);
    const isAlive = first.isUsable(this.#timers.nowMs());
    upstream.connections.release(first);
    if (isAlive) return "alive";
    const second = await openConnection(upstream);
    if (second === "gone") return "goneSince";
    if (second === "unknown") return second;
    upstream.connections.release(second);
    return "alive";
  }
}

async function openConnection(
  { connections }: Upstream,
): Promise<RunnerConnection | "gone" | "unknown"> {
  try {
    return await connections.open();
  } catch (thrown) {
    return isRefusal(normalizeError(thrown).cause) ? "gone" : "unknown";
  }
}

function isRefusal(cause: unknown): boolean {
  return cause instanceof Error && "code" in cause &&
    cause.code === "ECONNREFUSED";
}

/** Formats a key that differs when a runner's id is reused. */
export function formatProcessKey(
  { id, startedAtMs }: Pick<RunnerRecord, "id" | "startedAtMs">,
): string {
  return `${id} ${startedAtMs}`;
}

/** Time after which a connection that a live process accepted is still open. */
const settleMs = 200;
