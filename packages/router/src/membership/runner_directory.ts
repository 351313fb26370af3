import { normalizeError } from "@jasminetide/core/results";
import { type RunnerRow, Table } from "@jasminetide/core/tables";
import type { Logger } from "@jasminetide/runtime/logging";
import type {
  HostProcess,
  HostRecord,
  PlatformClient,
} from "@jasminetide/runtime/platform";

/** How long a runner that failed gets no new work while others are left. */
const holdDownMs = 1000;

/** The runners that this router knows of. */
export class RunnerDirectory {
  readonly runners = Table.create<string, RunnerRow>();
  readonly #logger: Logger;
  readonly #heldUntilMs = new Map<string, number>();

  private constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Creates an empty directory. */
  static create(logger: Logger): RunnerDirectory {
    return new RunnerDirectory(logger);
  }

  /** Gets the runners that take new work for a model or service. */
  getCandidates(pool: string, nowMs: number): RunnerRow[] {
    const active = [...this.runners.rows()].filter((runner) =>
      runner.state === "active" && runner.pools.includes(pool)
    );
    const healthy = active.filter((runner) =>
      (this.#heldUntilMs.get(runner.id) ?? 0) <= nowMs
    );
    return healthy.length > 0 ? healthy : active;
  }

  /** Loads the host list; on failure what is known stays. */
  async load(platform: PlatformClient, nowMs: number): Promise<void> {
    try {
      this.apply(await platform.loadHosts(), nowMs);
    } catch (thrown) {
      const error = normalizeError(thrown);
      this.#logger.warn("host-list-failed", { code: error.code });
    }
  }

  /** Applies a host list. */
  apply(hosts: HostRecord[], nowMs: number): void {
    for (const host of hosts) {
      for (const process of host.processes) {
        if (process.type === "sidecar") this.#apply(host, process, nowMs);
      }
    }
  }

  /** Records the epoch that a runner's sidecar told. */
  recordEpoch(id: string, epoch: number): void {
    const row = this.runners.get(id);
    if (row === undefined || row.epoch >= epoch) return;
    row.epoch = epoch;
    row.state = "active";
  }

  /** Records that an attempt at a runner failed. */
  recordFailure(id: string, nowMs: number): void {
    this.#heldUntilMs.set(id, nowMs + holdDownMs);
  }

  #apply(
    host: HostRecord,
    process: Extract<HostProcess, { type: "sidecar" }>,
    nowMs: number,
  ): void {
    const row = this.runners.get(process.runner);
    const state = host.state === "leaving" ? "leaving" : "active";
    this.runners.set(process.runner, {
      id: process.runner,
      host: host.id,
      failureDomain: host.failureDomain,
      region: host.region,
      dataAddress: process.dataAddress,
      controlAddress: process.controlAddress,
      kind: process.kind,
      pools: process.pools,
      capacity: process.capacity,
      loadTokens: row?.loadTokens ?? 0,
      state: row?.state === "leaving" ? "leaving" : state,
      epoch: row?.epoch ?? 0,
      sequence: row?.sequence ?? 0,
      configurationVersion: row?.configurationVersion ?? 0,
      observedAtMs: nowMs,
    });
  }
}
