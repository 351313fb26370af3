import { CrashTable } from "./crash_table.ts";
import type {
  Crash,
  Evidence,
  EvidenceNews,
  EvidenceSelection,
} from "./evidence.ts";
import { getTrialDueMs, type Trial } from "./quarantine_trials.ts";
import {
  isStronger,
  listProcesses,
  type QuarantinedPart,
} from "./quarantined_part.ts";
import { isRequestKey } from "./request_key.ts";
import { SoundAnswers } from "./sound_answers.ts";

/** Options of a quarantine. */
export type CrashQuarantineOptions = {
  /** Time for which a part is quarantined after the last crash. */
  quarantineMs: number;
};

/** A quarantined part, and when a request with it may be sent on trial. */
type Finding = { part: QuarantinedPart; trialDueMs: number | undefined };

/**
 * Finds the prompt parts that crash runners. A part is quarantined if several
 * processes crashed under several requests with it and none of its requests
 * was answered whole, since a part that crashes runners is never answered. A
 * request as a whole counts as a part of its own, named by its key; it may come
 * once or again and again.
 *
 * Evidence of several routers is merged; the result does not depend on the
 * order, and merging the same evidence again changes nothing.
 */
export class CrashQuarantine {
  readonly #options: CrashQuarantineOptions;
  readonly #crashes = CrashTable.create({ maxCrashes, maxCrashesPerProcess });
  readonly #answers = SoundAnswers.create();
  /** Findings since the evidence changed last, for a limited time. */
  readonly #findings = new Map<string, Finding | undefined>();
  #foundAtMs = 0;

  private constructor(options: CrashQuarantineOptions) {
    this.#options = options;
  }

  /** Creates a quarantine without evidence. */
  static create(options: CrashQuarantineOptions): CrashQuarantine {
    return new CrashQuarantine(options);
  }

  /**
   * Records that a request with shared parts was answered whole.
   *
   * @returns the parts against which several crashes spoke until now.
   */
  recordAnswer(partIds: readonly string[], nowMs: number): string[] {
    return partIds.filter((partId) => this.#recordSound(partId, nowMs, nowMs));
  }

  /** Lists the crashes that speak against a part. */
  listCrashes(partId: string, nowMs: number): Crash[] {
    return this.#listCounted(partId, nowMs);
  }

  /** Whether a process broke off a request at a time, as far as is known. */
  hasCrashAt(process: string, atMs: number): boolean {
    return this.#crashes.list().some((crash) =>
      crash.process === process && Math.abs(crash.atMs - atMs) <= sameEndMs
    );
  }

  /** Lists the parts that were not part of a whole answer recently. */
  listSuspects(partIds: readonly string[], nowMs: number): string[] {
    return partIds.filter((partId) => nowMs >= this.#getSoundUntilMs(partId));
  }

  /** Records a crash; returns whether it is new. */
  recordCrash(crash: Crash, nowMs: number): boolean {
    this.#findings.clear();
    this.#crashes.expire(nowMs - evidenceMs);
    return this.#crashes.add(crash);
  }

  /** Merges the evidence of another router. */
  merge(evidence: Evidence, nowMs: number): EvidenceNews {
    const crashes = evidence.crashes
      .map(({ ageMs, ...crash }) => ({ ...crash, atMs: nowMs - ageMs }))
      .filter((crash) => this.recordCrash(crash, nowMs));
    const clearedParts = evidence.sound
      .filter(({ partId, ageMs }) =>
        this.#recordSound(partId, nowMs - ageMs, nowMs)
      )
      .map(({ partId }) => partId);
    return { crashes, clearedParts };
  }

  /** Finds a part that is quarantined; the one for the longest time. */
  find(
    partIds: readonly string[],
    nowMs: number,
  ): QuarantinedPart | undefined {
    let longest: QuarantinedPart | undefined;
    for (const partId of partIds) {
      if (!this.#crashes.hasPart(partId)) continue;
      const found = this.#findPart(partId, nowMs);
      if (found === undefined) continue;
      const leftMs = found.part.leftMs - (nowMs - this.#foundAtMs);
      if (leftMs > (longest?.leftMs ?? 0)) longest = { ...found.part, leftMs };
    }
    return longest;
  }

  /**
   * Finds out when a request with quarantined parts may be sent on trial. One
   * with fewer suspected parts goes first, since it tells more about them.
   */
  findTrial(partIds: readonly string[], nowMs: number): Trial | undefined {
    const crashed = partIds.filter((partId) =>
      this.#listCounted(partId, nowMs).length > 0
    );
    const findings = crashed.flatMap((partId) =>
      this.#findPart(partId, nowMs) ?? []
    );
    const [last] = findings.toSorted((left, right) =>
      getDueMs(right) - getDueMs(left)
    );
    if (last?.trialDueMs === undefined) return undefined;
    return {
      partIds: findings.map(({ part }) => part.partId),
      lastPartId: last.part.partId,
      dueMs: last.trialDueMs + (crashed.length - 1) * extraPartMs,
    };
  }

  /** Lists all parts that are quarantined. */
  listQuarantined(nowMs: number): QuarantinedPart[] {
    const partIds = new Set(
      this.#crashes.list().flatMap((crash) => crash.partIds),
    );
    return [...partIds].flatMap((partId) => this.find([partId], nowMs) ?? []);
  }

  /** Selects evidence to send to other routers. */
  selectEvidence(
    { crashes, partIds }: EvidenceSelection,
    nowMs: number,
  ): Evidence {
    const sound = [...partIds].flatMap((partId) => {
      const atMs = this.#answers.getLastMs(partId);
      return atMs === undefined ? [] : [{ partId, ageMs: nowMs - atMs }];
    });
    return {
      crashes: [...crashes].map(({ atMs, ...crash }) => ({
        ...crash,
        ageMs: nowMs - atMs,
      })),
      sound: sound.filter(({ ageMs }) => ageMs < evidenceMs),
    };
  }

  /** Gets all evidence, for a router that has started. */
  getEvidence(nowMs: number): Evidence {
    this.#crashes.expire(nowMs - evidenceMs);
    const crashes = this.#crashes.list();
    const partIds = new Set(crashes.flatMap((crash) => crash.partIds));
    return this.selectEvidence({ crashes, partIds }, nowMs);
  }

  /** Gets the finding on a part as of `#foundAtMs`. */
  #findPart(partId: string, nowMs: number): Finding | undefined {
    if (this.#findings.size === 0 || nowMs - this.#foundAtMs > findingMs) {
      this.#findings.clear();
      this.#foundAtMs = nowMs;
    }
    if (!this.#findings.has(partId)) {
      this.#findings.set(partId, this.#createFinding(partId, this.#foundAtMs));
    }
    return this.#findings.get(partId);
  }

  #createFinding(partId: string, nowMs: number): Finding | undefined {
    const part = this.#blame(partId, nowMs);
    if (part === undefined) return undefined;
    const counted = this.#listCounted(partId, nowMs);
    const processes = this.#listUnexplained(part, nowMs);
    const unexplained = counted.filter(({ process }) => processes.has(process));
    if (processes.size >= minProcesses) {
      return { part, trialDueMs: getTrialDueMs(unexplained, partId) };
    }
    // What others crashed after its last crash may explain it: a trial tells.
    const lastMs = Math.max(...counted.map(({ atMs }) => atMs));
    const before = this.#listUnexplained(part, nowMs, lastMs + sameEndMs);
    if (before.size < minProcesses) return undefined;
    return { part, trialDueMs: getTrialDueMs(counted, partId) };
  }

  /** Describes the evidence against a part until a time if it suffices. */
  #blame(
    partId: string,
    nowMs: number,
    untilMs = nowMs,
  ): QuarantinedPart | undefined {
    const crashes = this.#listCounted(partId, nowMs)
      .filter(({ atMs }) => atMs <= untilMs);
    const processes = listProcesses(crashes).size;
    const requests = new Set(crashes.map(({ request }) => request)).size;
    const minRequests = isRequestKey(partId) ? 1 : minPartRequests;
    if (processes < minProcesses || requests < minRequests) return undefined;
    const lastAtMs = Math.max(...crashes.map(({ atMs }) => atMs));
    const leftMs = lastAtMs + this.#options.quarantineMs - nowMs;
    return leftMs > 0 ? { partId, leftMs, processes, requests } : undefined;
  }

  /**
   * Lists the processes that speak against a part without those that parts with
   * stronger evidence explain. A process crashes once, so the other parts are to
   * blame.
   *
   * @param untilMs time until which evidence against other parts counts.
   */
  #listUnexplained(
    found: QuarantinedPart,
    nowMs: number,
    untilMs = nowMs,
  ): Set<string> {
    const { partId } = found;
    const own = listProcesses(this.#listCounted(partId, nowMs));
    const unexplained = new Set(own);
    const others = new Set(
      this.#crashes.list().filter(({ process }) => own.has(process))
        .flatMap((crash) => crash.partIds),
    );
    for (const otherId of others) {
      const blame = this.#blame(otherId, nowMs, untilMs);
      if (blame === undefined || !isStronger(blame, found)) continue;
      const explained = listProcesses(this.#listCounted(otherId, nowMs));
      for (const process of explained) unexplained.delete(process);
    }
    return unexplained;
  }

  /** Returns whether the answer clears a part of several crashes. */
  #recordSound(partId: string, atMs: number, nowMs: number): boolean {
    const lastMs = this.#answers.getLastMs(partId);
    if (atMs <= (lastMs ?? Number.NEGATIVE_INFINITY)) return false;
    const wasSuspected = this.isSuspected(partId, nowMs);
    if (this.#listCounted(partId, nowMs).length > 0) this.#findings.clear();
    this.#answers.record(partId, atMs);
    return wasSuspected && !this.isSuspected(partId, nowMs);
  }

  /** Whether so many processes crashed that all routers should know. */
  isSuspected(partId: string, nowMs: number): boolean {
    const crashes = this.#listCounted(partId, nowMs);
    return listProcesses(crashes).size >= minSuspectedProcesses;
  }

  /**
   * Lists the crashes that speak against a part. Those before its last whole
   * answer or shortly after it do not: the part has crashed no runner then.
   */
  #listCounted(partId: string, nowMs: number): Crash[] {
    const sinceMs = Math.max(
      nowMs - evidenceMs,
      this.#getSoundUntilMs(partId),
    );
    return this.#crashes.listByPart(partId)
      .filter(({ atMs }) => atMs >= sinceMs);
  }

  #getSoundUntilMs(partId: string): number {
    const atMs = this.#answers.getLastMs(partId);
    return (atMs ?? Number.NEGATIVE_INFINITY) + soundMs;
  }
}

/** Gets the time of the next trial; infinite if there is none. */
function getDueMs({ trialDueMs }: Finding): number {
  return trialDueMs ?? Number.POSITIVE_INFINITY;
}

/** Time by which a trial waits for each further part that is suspected. */
const extraPartMs = 1000;

/** Crashed processes from which a part is quarantined. */
const minProcesses = 3;

/** Requests with a part under which they must have crashed. */
const minPartRequests = 3;

/** Crashed processes from which other routers are told that a part is sound. */
const minSuspectedProcesses = 2;

/** Time within which routers see the end of one process. */
const sameEndMs = 100;

/** Time after a whole answer for which crashes do not speak against its parts. */
const soundMs = 60_000;

/**
 * Time for which crashes count. It exceeds that of a quarantine, so that one
 * more crash after its end begins the next.
 */
const evidenceMs = 1_800_000;

/** Time for which a finding holds while the evidence does not change. */
const findingMs = 1000;

/** Maximum crashes that are kept. */
const maxCrashes = 1000;

/** The same for one process, which runs fewer requests in their first seconds. */
const maxCrashesPerProcess = 64;
