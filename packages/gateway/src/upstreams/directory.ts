import type { TimerService } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import { type RunnerRecord, Upstream } from "./upstream.ts";

/** Options of the directory of runners. */
export type DirectoryOptions = { timers: TimerService; logger: Logger };

/** Runners that the platform lists, indexed by service. */
export class Directory {
  readonly #options: DirectoryOptions;
  readonly #upstreams = new Map<string, Upstream>();
  readonly #byService = new Map<string, Upstream[]>();

  private constructor(options: DirectoryOptions) {
    this.#options = options;
  }

  /** Creates an empty directory. */
  static create(options: DirectoryOptions): Directory {
    return new Directory(options);
  }

  /** Runners of a service that accept new requests. */
  listReady(service: string): readonly Upstream[] {
    return this.#byService.get(service) ?? [];
  }

  /** Records of all runners, including draining ones. */
  listRecords(): RunnerRecord[] {
    return [...this.#upstreams.values()].map(({ record }) => record);
  }

  /** Finds a runner, including draining ones. */
  find(id: string): Upstream | undefined {
    return this.#upstreams.get(id);
  }

  /** Replaces the directory's contents with the platform's records. */
  apply(records: ReadonlyMap<string, RunnerRecord>): void {
    for (const [id, upstream] of this.#upstreams) {
      const record = records.get(id);
      if (record === undefined || isOtherProcess(record, upstream.record)) {
        this.#remove(id, upstream);
      }
    }
    for (const record of records.values()) this.#put(record);
    this.#index();
  }

  #put(record: RunnerRecord): void {
    const known = this.#upstreams.get(record.id);
    if (known === undefined) {
      const { timers } = this.#options;
      this.#upstreams.set(record.id, Upstream.create(record, timers));
      this.#log("runner-added", record);
      return;
    }
    if (known.record.isDraining !== record.isDraining) {
      this.#log(record.isDraining ? "runner-draining" : "runner-ready", record);
    }
    known.record = record;
  }

  #remove(id: string, upstream: Upstream): void {
    upstream.connections.close();
    this.#upstreams.delete(id);
    this.#log("runner-removed", upstream.record);
  }

  #index(): void {
    this.#byService.clear();
    for (const upstream of this.#upstreams.values()) {
      const { isDraining, service } = upstream.record;
      if (isDraining) continue;
      const others = this.#byService.get(service);
      if (others === undefined) this.#byService.set(service, [upstream]);
      else others.push(upstream);
    }
  }

  #log(event: string, record: RunnerRecord): void {
    const { address, id, service } = record;
    this.#options.logger.info(event, { runner: id, service, address });
  }
}

function isOtherProcess(left: RunnerRecord, right: RunnerRecord): boolean {
  return left.startedAtMs !== right.startedAtMs ||
    left.address !== right.address || left.service !== right.service;
}
