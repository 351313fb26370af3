import type { BlockCache } from "./block_cache.ts";
import type { EngineRole } from "./orders.ts";
import type { EngineProfile } from "./profile.ts";
import {
  createSequence,
  releaseSequence,
  reserveSequence,
  type Sequence,
  storeBlocks,
} from "./sequence.ts";
import type { EngineEvent, EngineRequest } from "./types.ts";

/** Profile, cache and role by which a batch is scheduled. */
export type BatchOptions = {
  profile: EngineProfile;
  cache: BlockCache;
  getRole: () => EngineRole;
};

/** A step, with the number of tokens that it prefills by sequence. */
type Step = { endsAtMs: number; prefills: Map<Sequence, number> };

/** Minimum duration of a step, for profiles whose times are zero. */
const minimumStepMs = 0.05;

/** Factors by role for the prefill budget and the maximum batch size. */
const roleFactors: {
  [Role in EngineRole]: { prefill: number; batch: number };
} = {
  mixed: { prefill: 1, batch: 1 },
  prefill: { prefill: 2, batch: 0.25 },
  decode: { prefill: 0.25, batch: 2 },
};

/**
 * Continuous batching with chunked prefill: sequences start and finish between
 * steps, and each sequence and prefilled token makes a step longer.
 */
export class Batch {
  readonly #options: BatchOptions;
  #waiting: Sequence[] = [];
  #running: Sequence[] = [];
  #step: Step | undefined;
  #arrivalCount = 0;
  #events: EngineEvent[] = [];

  private constructor(options: BatchOptions) {
    this.#options = options;
  }

  /** Creates an empty batch. */
  static create(options: BatchOptions): Batch {
    return new Batch(options);
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  get running(): number {
    return this.#running.length;
  }

  get hasEvents(): boolean {
    return this.#events.length > 0;
  }

  /** Tokens still to prefill and answer tokens still to generate. */
  get outstandingTokens(): number {
    let tokens = 0;
    for (const list of [this.#waiting, this.#running]) {
      for (const { request, prefillTokens, answeredTokens } of list) {
        tokens += prefillTokens + request.answerTokens - answeredTokens;
      }
    }
    return tokens;
  }

  /** Adds a request that may start after `firstTokenMs`. */
  add(request: EngineRequest, nowMs: number): void {
    this.#waiting.push(createSequence(request, {
      arrivalNumber: this.#arrivalCount++,
      readyAtMs: nowMs + this.#options.profile.firstTokenMs,
    }));
    this.#waiting.sort(compareSequences);
  }

  /** Returns whether a request is waiting or running. */
  has(id: string): boolean {
    return this.#find(id) !== undefined;
  }

  /** Removes a request; returns whether it was waiting or running. */
  cancel(id: string): boolean {
    const sequence = this.#find(id);
    if (sequence === undefined) return false;
    this.#remove(sequence);
    return true;
  }

  /** Returns the events since the last call. */
  takeEvents(): EngineEvent[] {
    const events = this.#events;
    this.#events = [];
    return events;
  }

  /** Time of the next change, or undefined without work. */
  getDueMs(nowMs: number): number | undefined {
    if (this.#step !== undefined) return this.#step.endsAtMs;
    if (this.#running.length > 0) return nowMs;
    if (this.#waiting.length === 0) return undefined;
    return Math.min(...this.#waiting.map(({ readyAtMs }) => readyAtMs));
  }

  /** Completes the current step if it has ended, and begins the next. */
  advance(nowMs: number): void {
    if (this.#step !== undefined && this.#step.endsAtMs <= nowMs) {
      this.#completeStep(this.#step);
    }
    if (this.#step === undefined) this.#beginStep(nowMs);
  }

  #find(id: string): Sequence | undefined {
    return this.#waiting.find(({ request }) => request.id === id) ??
      this.#running.find(({ request }) => request.id === id);
  }

  #beginStep(nowMs: number): void {
    this.#startSequences(nowMs);
    if (this.#running.length === 0) return;
    const { betweenTokensMs, sequenceStepMs, prefillTokenMs } =
      this.#options.profile;
    const prefills = this.#choosePrefills();
    let durationMs = betweenTokensMs + sequenceStepMs * this.#running.length;
    for (const tokens of prefills.values()) {
      durationMs += prefillTokenMs * tokens;
    }
    const endsAtMs = nowMs + Math.max(minimumStepMs, durationMs);
    this.#step = { endsAtMs, prefills };
  }

  #startSequences(nowMs: number): void {
    const { profile, getRole } = this.#options;
    const limit = Math.ceil(
      profile.maximumBatch * roleFactors[getRole()].batch,
    );
    for (const sequence of [...this.#waiting]) {
      if (this.#running.length >= limit) return;
      if (sequence.readyAtMs > nowMs) continue;
      if (!this.#startSequence(sequence, nowMs)) return;
    }
  }

  #startSequence(sequence: Sequence, nowMs: number): boolean {
    const { cache, profile } = this.#options;
    const { blockTokens } = profile;
    const cachedTokens = reserveSequence(sequence, { cache, blockTokens });
    if (cachedTokens === undefined) return false;
    this.#waiting.splice(this.#waiting.indexOf(sequence), 1);
    this.#running.push(sequence);
    this.#running.sort(compareSequences);
    this.#events.push({
      type: "started",
      id: sequence.request.id,
      atMs: nowMs,
      cachedTokens,
      computedTokens: sequence.prefillTokens,
    });
    return true;
  }

  #choosePrefills(): Map<Sequence, number> {
    const { profile, getRole } = this.#options;
    let budgetTokens = Math.ceil(
      profile.prefillTokensPerStep * roleFactors[getRole()].prefill,
    );
    const prefills = new Map<Sequence, number>();
    for (const sequence of this.#running) {
      const tokens = Math.min(sequence.prefillTokens, budgetTokens);
      if (tokens > 0) prefills.set(sequence, tokens);
      budgetTokens -= tokens;
    }
    return prefills;
  }

  #completeStep(step: Step): void {
    this.#step = undefined;
    for (const sequence of [...this.#running]) {
      const isPrefilling = sequence.prefillTokens > 0;
      // Skips sequences without a share of the step's prefill budget.
      if (isPrefilling && !step.prefills.has(sequence)) continue;
      sequence.prefillTokens -= step.prefills.get(sequence) ?? 0;
      if (sequence.prefillTokens > 0) continue;
      if (isPrefilling) this.#store(sequence, sequence.request.promptBlocks);
      this.#produceToken(sequence, step.endsAtMs);
    }
  }

  #produceToken(sequence: Sequence, atMs: number): void {
    const { request } = sequence;
    const index = sequence.answeredTokens;
    sequence.answeredTokens += 1;
    this.#events.push({ type: "token", id: request.id, atMs, index });
    if (sequence.answeredTokens < request.answerTokens) return;
    this.#store(sequence, [...request.promptBlocks, ...request.answerBlocks]);
    this.#remove(sequence);
    this.#events.push({ type: "finished", id: request.id, atMs });
  }

  #store(sequence: Sequence, chain: readonly number[]): void {
    storeBlocks(sequence, { cache: this.#options.cache, chain });
  }

  #remove(sequence: Sequence): void {
    this.#waiting = this.#waiting.filter((other) => other !== sequence);
    this.#running = this.#running.filter((other) => other !== sequence);
    releaseSequence(sequence, this.#options.cache);
  }
}

function compareSequences(left: Sequence, right: Sequence): number {
  return left.request.priority - right.request.priority ||
    left.arrivalNumber - right.arrivalNumber;
}
