import {
  chooseRestoredEvidence,
  type RunnerAvailability,
} from "@jasminetide/core/pools";
import type { TimerService } from "@jasminetide/core/timers";
import { ReadScheduler } from "@jasminetide/runtime/clock";
import type { Logger } from "@jasminetide/runtime/logging";
import { IdleConnections } from "./idle_connections.ts";
import { type RunnerRecord, Upstream } from "./upstream.ts";

/** Options of the directory of runners. */
export type DirectoryOptions = {
  timers: TimerService;
  logger: Logger;
  /**
   * Time after its evacuation in which a failure domain is still used by services
   * that have no other runner; 0 if absent.
   */
  lastResortMs?: number;
  /** Called with the id of a runner whose process is listed no more. */
  onRemoved?: (id: string) => void;
  /** Limit on idle connections to all runners. */
  maxIdleConnections?: number;
};

/** Circumstances of a change of the evacuated failure domains. */
export type EvacuationChange = {
  /** How long the change may have been made before. */
  ageMs: number;
  /** Gets how long the runners of a service may be cold. */
  getColdMs: (service: string) => number;
};

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
  readonly #allIdle: IdleConnections;
  readonly #upstreams = new Map<string, Upstream>();
  readonly #departed = new Map<string, DepartedRunner>();
  readonly #readyByService = new Map<string, Upstream[]>();
  readonly #allByService = new Map<string, Upstream[]>();
  readonly #byHash = new Map<number, Upstream>();
  readonly #sourcesByService = new Map<string, Upstream[]>();
  /** Evacuated failure domains, and until when they are a last resort. */
  #evacuated: ReadonlyMap<string, number> = new Map();

  private constructor(options: DirectoryOptions) {
    this.#options = options;
    this.#allIdle = IdleConnections.create(
      options.maxIdleConnections ?? Infinity,
    );
  }

  /** Creates an empty directory. */
  static create(options: DirectoryOptions): Directory {
    return new Directory(options);
  }

  /**
   * Runners of a service that may get new requests by what the platform states:
   * those that do not drain, outside evacuated failure domains. If there is none,
   * those of domains whose evacuation has just begun.
   */
  listReady(service: string): readonly Upstream[] {
    return this.#readyByService.get(service) ?? this.#listLastResort(service);
  }

  /** All runners of a service, including draining ones. */
  listAll(service: string): readonly Upstream[] {
    return this.#allByService.get(service) ?? [];
  }

  /**
   * Runners of a service from which others may copy their caches: all, including
   * draining ones, outside evacuated failure domains.
   */
  listSources(service: string): readonly Upstream[] {
    return this.#sourcesByService.get(service) ?? [];
  }

  /** Failure domains whose runners get nothing. */
  get evacuatedDomains(): ReadonlySet<string> {
    return new Set(this.#evacuated.keys());
  }

  /** Whether a runner is in a failure domain that is evacuated. */
  isEvacuated({ failureDomain }: Upstream): boolean {
    return this.#evacuated.has(failureDomain);
  }

  /** Whether a runner may get new requests, see `listReady`. */
  isReady(upstream: Upstream): boolean {
    const { isDraining, service } = upstream.record;
    if (this.#upstreams.get(upstream.id) !== upstream) return false;
    if (!this.isEvacuated(upstream)) return !isDraining;
    return this.listReady(service).includes(upstream);
  }

  /**
   * Replaces the failure domains whose runners get nothing. The runners of those
   * that return count as cold, since their entries may be older than that.
   */
  setEvacuated(
    domains: ReadonlySet<string>,
    { ageMs, getColdMs }: EvacuationChange,
  ): void {
    const { lastResortMs = 0, timers } = this.#options;
    const nowMs = timers.nowMs();
    for (const upstream of this.#upstreams.values()) {
      const { availability, failureDomain, record: { service } } = upstream;
      const returns = this.isEvacuated(upstream) && !domains.has(failureDomain);
      if (returns) availability.cold.record(getColdMs(service), nowMs);
    }
    const untilMs = nowMs + lastResortMs - ageMs;
    const before = this.#evacuated;
    this.#evacuated = new Map(
      [...domains].map((domain) => [domain, before.get(domain) ?? untilMs]),
    );
    this.#index();
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

  /** Finds a runner by the hash of its id, including draining ones. */
  findByHash(idHash: number): Upstream | undefined {
    return this.#byHash.get(idHash);
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

  #listLastResort(service: string): readonly Upstream[] {
    const nowMs = this.#options.timers.nowMs();
    return this.listAll(service).filter(({ failureDomain, record }) =>
      !record.isDraining && nowMs < (this.#evacuated.get(failureDomain) ?? 0)
    );
  }

  #put(record: RunnerRecord): void {
    const known = this.#upstreams.get(record.id);
    if (known === undefined) {
      const upstream = this.#createUpstream(record);
      this.#upstreams.set(record.id, upstream);
      this.#log("runner-added", record);
      this.#recordCold(upstream);
      return;
    }
    if (known.record.isDraining !== record.isDraining) {
      this.#log(record.isDraining ? "runner-draining" : "runner-ready", record);
    }
    const isNews = known.record.heartbeat !== record.heartbeat ||
      known.record.coldLeftMs !== record.coldLeftMs;
    known.record = record;
    if (isNews) this.#recordCold(known);
  }

  /** Records how long a runner is cold by its entry, which has just come. */
  #recordCold({ availability: { cold }, record }: Upstream): void {
    const { coldLeftMs = 0 } = record;
    const nowMs = this.#options.timers.nowMs();
    if (coldLeftMs > 0 && cold.getLeftMs(nowMs) === 0) {
      this.#log("runner-cold", record);
    }
    cold.record(coldLeftMs, nowMs);
  }

  /** Creates the entry of a runner, which may have been listed before. */
  #createUpstream(record: RunnerRecord): Upstream {
    const { timers } = this.#options;
    const departed = this.#departed.get(record.id);
    this.#departed.delete(record.id);
    const isSameProcess = departed !== undefined &&
      !isOtherProcess(record, departed.record);
    const availability = isSameProcess ? departed.availability : undefined;
    return Upstream.create(record, {
      timers,
      reads: this.#reads,
      allIdle: this.#allIdle,
      availability,
    });
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
    this.#options.onRemoved?.(id);
  }

  #index(): void {
    this.#readyByService.clear();
    this.#allByService.clear();
    this.#sourcesByService.clear();
    this.#byHash.clear();
    for (const upstream of this.#upstreams.values()) {
      const { isDraining, service } = upstream.record;
      this.#byHash.set(upstream.idHash, upstream);
      addTo(this.#allByService, service, upstream);
      if (this.isEvacuated(upstream)) continue;
      addTo(this.#sourcesByService, service, upstream);
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
