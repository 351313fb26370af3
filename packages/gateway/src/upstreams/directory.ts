import {
  chooseRestoredEvidence,
  type RunnerAvailability,
} from "@jasminetide/core/pools";
import type { TimerService } from "@jasminetide/core/timers";
import { ReadScheduler } from "@jasminetide/runtime/clock";
import type { Logger } from "@jasminetide/runtime/logging";
import { type RunnerRecord, Upstream } from "./upstream.ts";

/** Options of the directory of runners. */
export type DirectoryOptions = { timers: TimerService; logger: Logger };

/** A runner that is listed no more, and what its process stated. */
type DepartedRunner = {
  record: RunnerRecord;
  availability: RunnerAvailability;
};

/** Departed runners that are remembered; the earliest are forgotten first. */
const maxDeparted = 5000;

/** Runners that the platform lists, indexed by service. */
export class Directory {
  readonly #options: DirectoryOptions;
  readonly #reads = ReadScheduler.create();
  readonly #upstreams = new Map<string, Upstream>();
  readonly #departed = new Map<string, DepartedRunner>();
  readonly #readyByService = new Map<string, Upstream[]>();
  readonly #allByService = new Map<string, Upstream[]>();

  private constructor(options: DirectoryOptions) {
    this.#options = options;
  }

  /** Creates an empty directory. */
  static create(options: DirectoryOptions): Directory {
    return new Directory(options);
  }

  /** Runners of a service that are listed and not draining. */
  listReady(service: string): readonly Upstream[] {
    return this.#readyByService.get(service) ?? [];
  }

  /** All runners of a service, including draining ones. */
  listAll(service: string): readonly Upstream[] {
    return this.#allByService.get(service) ?? [];
  }

  /** All runners of all services, including draining ones. */
  listUpstreams(): Upstream[] {
    return [...this.#upstreams.values()];
  }

  /** Records of all runners, including draining ones. */
  listRecords(): RunnerRecord[] {
    return this.listUpstreams().map(({ record }) => record);
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

  /**
   * Chooses between the record of a restored store and what is known of the
   * runner. Returns undefined if the runner is known to be gone.
   */
  resolveRestored(restored: RunnerRecord): RunnerRecord | undefined {
    const listed = this.#upstreams.get(restored.id)?.record;
    const known = listed ?? this.#departed.get(restored.id)?.record;
    if (known === undefined) return restored;
    const choice = chooseRestoredEvidence(known, restored);
    if (choice === "known" && known.isDraining !== restored.isDraining) {
      this.#log("restored-record-ignored", known);
    }
    return choice === "restored" ? restored : listed;
  }

  #put(record: RunnerRecord): void {
    const known = this.#upstreams.get(record.id);
    if (known === undefined) {
      this.#upstreams.set(record.id, this.#createUpstream(record));
      this.#log("runner-added", record);
      return;
    }
    if (known.record.isDraining !== record.isDraining) {
      this.#log(record.isDraining ? "runner-draining" : "runner-ready", record);
    }
    known.record = record;
  }

  /** Creates the entry of a runner, which may have been listed before. */
  #createUpstream(record: RunnerRecord): Upstream {
    const { timers } = this.#options;
    const departed = this.#departed.get(record.id);
    this.#departed.delete(record.id);
    const isSameProcess = departed !== undefined &&
      !isOtherProcess(record, departed.record);
    const availability = isSameProcess ? departed.availability : undefined;
    const reads = this.#reads;
    return Upstream.create(record, { timers, reads, availability });
  }

  #remove(id: string, upstream: Upstream): void {
    const { availability, record } = upstream;
    upstream.connections.close();
    this.#upstreams.delete(id);
    this.#departed.set(id, { record, availability });
    if (this.#departed.size > maxDeparted) {
      const [earliest] = this.#departed.keys();
      this.#departed.delete(earliest);
    }
    this.#log("runner-removed", record);
  }

  #index(): void {
    this.#readyByService.clear();
    this.#allByService.clear();
    for (const upstream of this.#upstreams.values()) {
      const { isDraining, service } = upstream.record;
      addTo(this.#allByService, service, upstream);
      if (!isDraining) addTo(this.#readyByService, service, upstream);
    }
  }

  #log(event: string, record: RunnerRecord): void {
    const { address, id, service } = record;
    this.#options.logger.info(event, { runner: id, service, address });
  }
}

function isOtherProcess(left: RunnerRecord, right: RunnerRecord): boolean {
  return left.startedAtMs !== right.startedAtMs ||
    left.softwareVersion !== right.softwareVersion ||
    left.address !== right.address || left.service !== right.service;
}

function addTo<Value>(
  lists: Map<string, Value[]>,
  key: string,
  value: Value,
): void {
  const list = lists.get(key);
  if (list === undefined) lists.set(key, [value]);
  else list.push(value);
}
