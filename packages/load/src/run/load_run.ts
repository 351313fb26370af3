import { setMaxListeners } from "node:events";
import {
  createSeededRandom,
  type RandomSource,
} from "@jasminetide/core/random";
import type { TimerService } from "@jasminetide/core/timers";
import PQueue from "p-queue";
import { Agent } from "undici";
import { v7 } from "uuid";
import { type Arrival, countRequests, mergeArrivals } from "../arrivals/mod.ts";
import {
  createChatCall,
  createLookupCall,
  createMoneyCall,
  type PlannedCall,
  sendCall,
} from "../calls/mod.ts";
import type { HistoryEvent, Outcome } from "../history/mod.ts";
import type { Mix, Scenario } from "../scenario/mod.ts";
import { recordConfigurations } from "./configuration_sampler.ts";
import { recordEffects } from "./effect_reader.ts";
import { LoadStats } from "./load_stats.ts";

/** Options of a run. */
export type LoadRunOptions = {
  scenario: Scenario;
  timers: TimerService;
  record: (event: HistoryEvent) => void;
};

const samplePeriodMs = 1000;

/** Sends the load of one scenario; arrivals never wait for answers. */
export class LoadRun {
  readonly stats: LoadStats;
  readonly #options: LoadRunOptions;
  readonly #agent: Agent;
  readonly #queue: PQueue;
  readonly #random: RandomSource;
  readonly #abort = new AbortController();
  readonly #startedAtMs: number;
  #calls = 0;

  private constructor(options: LoadRunOptions) {
    const { scenario, timers } = options;
    this.#options = options;
    this.stats = LoadStats.create(scenario.mixes.map((mix) => mix.name));
    this.#agent = new Agent({ connections: scenario.maximumInFlight });
    this.#queue = new PQueue({ concurrency: scenario.maximumInFlight });
    this.#random = createSeededRandom(scenario.seed);
    this.#startedAtMs = timers.nowMs();
    // Each request in flight adds a listener to the run's abort signal.
    setMaxListeners(0, this.#abort.signal);
  }

  /** Creates a run without starting it. */
  static create(options: LoadRunOptions): LoadRun {
    return new LoadRun(options);
  }

  /** Returns the time since the run was created. */
  getNowMs(): number {
    return this.#options.timers.nowMs() - this.#startedAtMs;
  }

  /** Sends all requests, then waits for answers until the grace time ends. */
  async run(): Promise<void> {
    const { scenario, timers } = this.#options;
    this.#options.record({
      type: "header",
      formatVersion: 1,
      effects: scenario.effectAddresses.length > 0 ? "by-key" : "none",
      seed: scenario.seed,
    });
    using _sampler = timers.subscribe(
      samplePeriodMs,
      () => this.#sampleConfigurations(),
    );
    const work: Promise<void>[] = [];
    let requests = 0;
    for (const arrival of mergeArrivals(scenario)) {
      requests += countRequests(arrival);
      if (requests > scenario.maximumRequests) break;
      await this.#waitUntil(arrival.dueMs);
      work.push(this.#execute(arrival));
    }
    await this.#finish(work);
    for (const address of scenario.effectAddresses) {
      await recordEffects(address, this.#options.record);
    }
  }

  /** Aborts the requests that are still in flight. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.#abort.abort();
    await this.#agent.destroy();
  }

  async #finish(work: Promise<void>[]): Promise<void> {
    const { scenario, timers } = this.#options;
    using _grace = timers.schedule(
      scenario.graceSeconds * 1000,
      () => this.#abort.abort(),
    );
    await Promise.all(work);
  }

  #sampleConfigurations(): void {
    const { platformAddress, operatorKey } = this.#options.scenario;
    if (platformAddress === undefined || operatorKey === undefined) return;
    void recordConfigurations({
      platformAddress,
      operatorKey,
      getNowMs: () => this.getNowMs(),
      record: this.#options.record,
    });
  }

  async #waitUntil(dueMs: number): Promise<void> {
    const delayMs = dueMs - this.getNowMs();
    if (delayMs <= 0 || this.#abort.signal.aborted) return;
    await new Promise<void>((resolve) => {
      const timer = this.#options.timers.schedule(delayMs, () => finish());
      const finish = () => {
        timer[Symbol.dispose]();
        this.#abort.signal.removeEventListener("abort", finish);
        resolve();
      };
      this.#abort.signal.addEventListener("abort", finish);
    });
  }

  #execute(arrival: Arrival): Promise<void> {
    switch (arrival.kind) {
      case "chat":
        return this.#executeChat(arrival);
      case "lookup":
        return this.#send(arrival.mix, {
          ...createLookupCall(arrival),
          dueMs: arrival.dueMs,
        });
      case "money":
        return this.#executeMoney(arrival);
    }
  }

  /** Each turn is due a pause after the last was due, even if that was late. */
  async #executeChat(
    arrival: Extract<Arrival, { kind: "chat" }>,
  ): Promise<void> {
    const messages = [{ role: "system", content: arrival.systemPrompt }];
    let dueMs = arrival.dueMs;
    for (const { pauseMs, message, answerTokens } of arrival.turns) {
      dueMs += pauseMs;
      await this.#waitUntil(dueMs);
      messages.push({ role: "user", content: message });
      const call = createChatCall(arrival, { messages, answerTokens });
      await this.#send(arrival.mix, { ...call, dueMs });
      messages.push({ role: "assistant", content: call.answer });
    }
  }

  async #executeMoney(
    arrival: Extract<Arrival, { kind: "money" }>,
  ): Promise<void> {
    const { mix, dueMs, hasKey } = arrival;
    const key = hasKey ? this.#createIdempotencyKey() : undefined;
    const call = createMoneyCall(arrival, key);
    const sendCount = hasKey ? arrival.sendCount : 1;
    await Promise.all(
      Array.from(
        { length: sendCount },
        () => this.#send(mix, { ...call, dueMs }),
      ),
    );
  }

  /** Creates a UUIDv7, because the ledger reads the issue time from a key. */
  #createIdempotencyKey(): string {
    const random = Uint8Array.from(
      { length: 16 },
      () => this.#random.getInteger(256),
    );
    return v7({ msecs: Math.floor(this.#options.timers.nowMs()), random });
  }

  async #send(
    mix: Mix,
    call: PlannedCall & { dueMs: number },
  ): Promise<void> {
    await this.#queue.add(async () => {
      if (this.#abort.signal.aborted) return;
      const id = `call-${this.#calls++}`;
      this.stats.countSent(mix.name);
      const { operation } = call;
      this.#options.record({
        type: "invoke",
        id,
        atMs: this.getNowMs(),
        operation,
      });
      const { outcome, firstByteAtMs } = await sendCall(
        { ...call.request, targets: this.#orderTargets(), key: mix.key },
        {
          dispatcher: this.#agent,
          getNowMs: () => this.getNowMs(),
          signal: this.#abort.signal,
        },
      );
      this.#complete(mix, { id, outcome, firstByteAtMs, dueMs: call.dueMs });
    });
  }

  #complete(
    mix: Mix,
    call: {
      id: string;
      outcome: Outcome;
      firstByteAtMs: number | undefined;
      dueMs: number;
    },
  ): void {
    const { id, outcome, firstByteAtMs } = call;
    const completedAtMs = this.getNowMs();
    this.#options.record({
      type: "complete",
      id,
      atMs: completedAtMs,
      outcome,
    });
    this.stats.record({
      mix: mix.name,
      outcome,
      intendedAtMs: call.dueMs,
      firstByteAtMs,
      completedAtMs,
      isAborted: outcome.type === "lost" && this.#abort.signal.aborted,
    });
  }

  /** Returns all routers in order, starting with a random one. */
  #orderTargets(): string[] {
    const { targets } = this.#options.scenario;
    const first = this.#random.getInteger(targets.length);
    return [...targets.slice(first), ...targets.slice(0, first)];
  }
}
