import { normalizeError } from "@jasminetide/core/results";
import {
  getWritePeriodMs,
  type NamedOrigin,
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
  /** Versions that gateways know, as last read. */
  #recordedVersions: readonly VersionedRunner[] = [];
  readonly #reader: RecordReader;
  readonly #writer: RecordWriter;
  /** Last request for a write since the versions that serve have changed. */
  #versionsRequest = 0;

  private constructor(options: StreamVersionsOptions) {
    this.#options = options;
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

  /**
   * Chooses the version at which a stream that is taken up goes on. If its origin
   * is not known, the records are read first, also while only one version is
   * known: this gateway may not have seen the others yet.
   */
  async chooseVersion(
    { firstAttemptId }: StreamTakeUp,
    service: string,
  ): Promise<VersionChoice> {
    const { timers } = this.#options;
    await Promise.race([this.#reader.loaded, wait(timers, maxLoadWaitMs)]);
    const origin = this.#findOrigin(firstAttemptId, service);
    if (origin !== undefined) return origin;
    for (const pauseMs of readPausesMs) {
      await wait(timers, pauseMs);
      const hasRead = await this.#reader.read();
      const choice = this.#findOrigin(firstAttemptId, service) ??
        this.#findOnly(service);
      if (hasRead && choice !== undefined) return choice;
    }
    return { type: "unknown", candidates: this.#listAllCandidates(service) };
  }

  [Symbol.dispose](): void {
    this.#reader[Symbol.dispose]();
    this.#writer[Symbol.dispose]();
  }

  /** Finds the version that began a stream, if that is known. */
  #findOrigin(
    firstAttemptId = "",
    service: string,
  ): VersionChoice | undefined {
    const origin = this.#origins.find(firstAttemptId) ??
      this.#otherOrigins.get(firstAttemptId);
    if (origin?.service !== service) return undefined;
    return { type: "version", softwareVersion: origin.softwareVersion };
  }

  /** Finds the only version that may have begun a stream, if there is one. */
  #findOnly(service: string): VersionChoice | undefined {
    const candidates = this.#listAllCandidates(service);
    if (candidates.length > 1) return undefined;
    return { type: "version", softwareVersion: candidates.at(0) };
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
    }
    this.#otherOrigins = others;
    this.#recordedVersions = current.flatMap(([, record]) =>
      listVersions(record)
    );
    if (isFirst) {
      for (const version of this.#recordedVersions) {
        this.#history.add(version, this.#nowMs());
      }
      logger.info("stream-records-read", {
        records: current.length,
        streams: others.size,
      });
      this.#removeOld(records);
    } else this.#writer.checkWritten(records);
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

  /**
   * Lists the versions that may have begun a stream: those that this gateway
   * knows, and those that others know and it has never seen.
   */
  #listAllCandidates(service: string): string[] {
    const unseen = this.#recordedVersions
      .filter((each) => each.service === service && !this.#history.has(each))
      .map(({ softwareVersion }) => softwareVersion);
    return [...this.#listCandidates(service), ...new Set(unseen)];
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

function listVersions({ services }: StreamRecord): VersionedRunner[] {
  return Object.entries(services).flatMap(([service, { versions }]) =>
    versions.map((softwareVersion) => ({ service, softwareVersion }))
  );
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
