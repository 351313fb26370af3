import { normalizeError } from "@jasminetide/core/results";
import {
  getWritePeriodMs,
  type NamedOrigin,
  streamMemoryMs,
  type StreamOrigin,
  StreamOrigins,
  type VersionedRunner,
  VersionHistory,
} from "@jasminetide/core/stream_versions";
import { type TimerService, wait } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import type { StreamTakeUp } from "../protocol.ts";
import { RecordReader } from "./record_reader.ts";
import { RecordWriter } from "./record_writer.ts";
import type { StreamRecord, StreamRegistry } from "./stream_registry.ts";

/** Options of the versions of streams. */
export type StreamVersionsOptions = {
  /** Name of this gateway. */
  name: string;
  registry: StreamRegistry;
  /** Writes a second that the store accepts from all processes together. */
  writesPerSecond: number;
  countRouters: () => number;
  timers: TimerService;
  logger: Logger;
};

/** At which version a stream may go on. */
export type VersionChoice =
  /** At this one only; undefined if no runner was ever listed. */
  | { type: "version"; softwareVersion: string | undefined }
  /** Several versions may have begun it. */
  | { type: "unknown"; candidates: string[] };

/**
 * Knows which software version began each stream that callers may take up. While
 * a service has one version only, nothing is written of its streams. While it
 * has several, each gateway writes to the store which version began which
 * stream, for the other gateways and for those that start after a kill of all.
 */
export class StreamVersions {
  readonly #options: StreamVersionsOptions;
  readonly #history = VersionHistory.create();
  /** Origins of the streams that this gateway has relayed. */
  readonly #origins = StreamOrigins.create();
  /** Origins of the streams of other gateways, as last read. */
  #otherOrigins: ReadonlyMap<string, StreamOrigin> = new Map();
  readonly #startedAtMs: number;
  readonly #reader: RecordReader;
  readonly #writer: RecordWriter;
  /** Last request for a write since the versions that serve have changed. */
  #versionsRequest = 0;

  private constructor(options: StreamVersionsOptions) {
    this.#options = options;
    this.#startedAtMs = options.timers.nowMs();
    this.#reader = RecordReader.create({
      ...options,
      onRecords: (records, { isFirst }) => this.#merge(records, isFirst),
    });
    this.#writer = RecordWriter.create({
      ...options,
      createRecord: () => this.#createRecord(),
      getPeriodMs: () =>
        getWritePeriodMs({
          routers: options.countRouters(),
          writesPerSecond: options.writesPerSecond,
        }),
    });
    void this.#reader.loaded.then(() => this.#writeVersions());
  }

  /** Starts to read what gateways know of streams. */
  static create(options: StreamVersionsOptions): StreamVersions {
    return new StreamVersions(options);
  }

  /** Records all listed runners. */
  observeRunners(runners: Iterable<VersionedRunner>): void {
    const hasChanged = this.#history.observe(runners, this.#nowMs());
    if (hasChanged) this.#writeVersions();
  }

  /**
   * Records which version is asked for a stream, and waits for a limited time
   * until the other gateways can know it; undefined if they can already.
   */
  publishOrigin(origin: NamedOrigin): Promise<void> | undefined {
    this.#recordOrigin(origin);
    const own = this.#origins.find(origin.firstAttemptId)?.request ?? 0;
    const request = Math.max(own, this.#versionsRequest);
    const { timers } = this.#options;
    if (this.#writer.isWritten(request)) return;
    return Promise.race([
      this.#writer.waitUntilWritten(request),
      wait(timers, maxPublishWaitMs),
    ]);
  }

  /** Records which version is asked for a stream. */
  #recordOrigin(origin: NamedOrigin): void {
    const { firstAttemptId, service, softwareVersion } = origin;
    const known = this.#origins.find(firstAttemptId);
    const isKnown = known?.softwareVersion === softwareVersion;
    const request = !isKnown && this.#isMixed(service)
      ? this.#requestWrite()
      : known?.request;
    this.#origins.record({ ...origin, request }, this.#nowMs());
  }

  /** Records that a stream was sent to its end. */
  recordComplete(firstAttemptId: string): void {
    this.#origins.complete(firstAttemptId, this.#nowMs());
  }

  /** Chooses the version at which a stream that is taken up goes on. */
  async chooseVersion(
    { firstAttemptId }: StreamTakeUp,
    service: string,
  ): Promise<VersionChoice> {
    const { timers } = this.#options;
    await Promise.race([this.#reader.loaded, wait(timers, maxLoadWaitMs)]);
    for (const pauseMs of readPausesMs) {
      const choice = this.#decide(firstAttemptId, service);
      if (choice.type === "version") return choice;
      await wait(timers, pauseMs);
      await this.#reader.read();
    }
    return this.#decide(firstAttemptId, service);
  }

  [Symbol.dispose](): void {
    this.#reader[Symbol.dispose]();
    this.#writer[Symbol.dispose]();
  }

  #decide(firstAttemptId: string | undefined, service: string): VersionChoice {
    const id = firstAttemptId ?? "";
    const origin = this.#origins.find(id) ?? this.#otherOrigins.get(id);
    if (origin?.service === service) {
      const { softwareVersion } = origin;
      return { type: "version", softwareVersion };
    }
    const candidates = this.#listCandidates(service);
    return candidates.length > 1 || !this.#isInformed
      ? { type: "unknown", candidates }
      : { type: "version", softwareVersion: candidates.at(0) };
  }

  /** Whether all versions that may have begun streams are known. */
  get #isInformed(): boolean {
    return this.#reader.isLoaded ||
      this.#nowMs() - this.#startedAtMs > streamMemoryMs;
  }

  #merge(records: ReadonlyMap<string, StreamRecord>, isFirst: boolean): void {
    const { logger, name, timers } = this.#options;
    const oldestMs = timers.wallMs() - maxRecordAgeMs;
    const current = [...records].filter(([, { writtenAtMs }]) =>
      writtenAtMs > oldestMs
    );
    const others = new Map<string, StreamOrigin>();
    for (const [writer, record] of current) {
      for (const { firstAttemptId, ...origin } of listOrigins(record)) {
        others.set(firstAttemptId, origin);
        // What this gateway wrote before it was restarted.
        if (isFirst && writer === name) {
          this.#origins.record({ firstAttemptId, ...origin }, this.#nowMs());
        }
      }
      if (isFirst) this.#addVersions(record);
    }
    this.#otherOrigins = others;
    if (isFirst) {
      logger.info("stream-records-read", {
        records: current.length,
        streams: others.size,
      });
      this.#removeOld(records);
    } else this.#writer.checkWritten(records);
  }

  /** Adds versions that were in service when this gateway started. */
  #addVersions({ services }: StreamRecord): void {
    for (const [service, { versions }] of Object.entries(services)) {
      for (const softwareVersion of versions) {
        this.#history.add({ service, softwareVersion }, this.#nowMs());
      }
    }
  }

  /** Removes the records of gateways that are long gone. */
  #removeOld(records: ReadonlyMap<string, StreamRecord>): void {
    const { logger, registry, timers } = this.#options;
    const oldestMs = timers.wallMs() - removalAgeMs;
    for (const [writer, { writtenAtMs }] of records) {
      if (writtenAtMs > oldestMs) continue;
      registry.remove(writer).catch((thrown) =>
        logger.warn("stream-record-unremoved", {
          writer,
          detail: normalizeError(thrown).message,
        })
      );
    }
  }

  #createRecord(): StreamRecord {
    const services = this.#history.listServices().map((service) => [
      service,
      {
        versions: this.#listCandidates(service),
        streams: this.#isMixed(service) ? this.#listStreams(service) : {},
      },
    ]);
    const writtenAtMs = Math.round(this.#options.timers.wallMs());
    return { writtenAtMs, services: Object.fromEntries(services) };
  }

  #listStreams(service: string): Record<string, string[]> {
    const streams: Record<string, string[]> = {};
    for (const origin of this.#origins.list(this.#nowMs())) {
      if (origin.service !== service) continue;
      (streams[origin.softwareVersion] ??= []).push(origin.firstAttemptId);
    }
    return streams;
  }

  #isMixed(service: string): boolean {
    return this.#listCandidates(service).length > 1;
  }

  #listCandidates(service: string): string[] {
    return this.#history.listCandidates(service, this.#nowMs());
  }

  /** Requests a write of the versions that serve, once some are known. */
  #writeVersions(): void {
    if (this.#history.listServices().length === 0) return;
    this.#versionsRequest = this.#requestWrite() ?? this.#versionsRequest;
  }

  /**
   * Requests a write, if it can be made by now: before the records were read,
   * this gateway's own of before its start would be lost.
   */
  #requestWrite(): number | undefined {
    return this.#reader.isLoaded ? this.#writer.requestWrite() : undefined;
  }

  #nowMs(): number {
    return this.#options.timers.nowMs();
  }
}

function listOrigins({ services }: StreamRecord): NamedOrigin[] {
  return Object.entries(services).flatMap(([service, { streams }]) =>
    Object.entries(streams).flatMap(([softwareVersion, ids]) =>
      ids.map((firstAttemptId) => ({
        service,
        softwareVersion,
        firstAttemptId,
      }))
    )
  );
}

/**
 * Age above which a record counts no more: gateways write theirs every 30 s, and
 * clocks differ by seconds.
 */
const maxRecordAgeMs = 90_000;

/** Age at which a record is removed from the store. */
const removalAgeMs = 600_000;

/** Time for which a stream waits at most for a write of its version. */
const maxPublishWaitMs = 150;

/** Time for which a take-up waits for the records of the start. */
const maxLoadWaitMs = 1000;

/**
 * Pauses before the records are read again for a stream of unknown origin; its
 * gateway may not have written it yet.
 */
const readPausesMs = [0, 300];
