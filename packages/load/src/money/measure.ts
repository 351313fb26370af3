/** Measurement of the ledger's cost in virtual time. */
import {
  type LedgerAnswer,
  type ShardCommand,
  type ShardSettings,
} from "@jasminetide/core/ledger";
import { createSeededRandom } from "@jasminetide/core/random";
import { VirtualTimerService } from "@jasminetide/core/timers";
import { Metrics } from "@jasminetide/runtime/metrics";
import { FakePlatform } from "./fake_platform.ts";
import { FakeService } from "./fake_service.ts";
import { FakeSidecar } from "./fake_sidecar.ts";

/** Parameters of a measurement of one sidecar under steady load. */
export type MeasureOptions = {
  seed: number;
  callsPerSecond: number;
  shardCount: number;
  settings: ShardSettings;
  durationMs: number;
  /** Outage of the platform; the owner may be killed half way through it. */
  outage?: { startMs: number; durationMs: number; isOwnerKilled: boolean };
};

/** Results of a measurement. */
export type MeasureResult = {
  calls: number;
  writesPerCall: number;
  bytesPerCall: number;
  largestObjectBytes: number;
  /** Time from arrival to dispatch, in milliseconds. */
  addedMs: { p50: number; p99: number };
  /** Share of each kind of answer in the calls of the outage, or in all calls. */
  shares: { [kind: string]: number };
};

const startMs = 1_000_000;
/** Time for the sidecar to acquire the shards before the first call. */
const warmUpMs = 2000;
/** Time for open calls to complete after the last one was sent. */
const drainMs = 40_000;
const deadlineMs = 10_000;
const microsecondsPerMs = 1000;

/** Measures writes, bytes, added time and answers of the ledger. */
export function measureLedger(options: MeasureOptions): MeasureResult {
  const harness = MeasureHarness.create(options);
  return harness.run();
}

class MeasureHarness {
  readonly #options: MeasureOptions;
  readonly #timers = VirtualTimerService.create(startMs);
  readonly #platform: FakePlatform;
  readonly #service: FakeService;
  readonly #metrics = Metrics.create();
  readonly #random;
  readonly #arrivedAtMs = new Map<string, number>();
  readonly #answers = new Map<string, number>();
  #sidecar: FakeSidecar;
  #calls = 0;
  #counted = 0;

  private constructor(options: MeasureOptions) {
    const timers = this.#timers;
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    this.#platform = FakePlatform.create({
      timers,
      random: this.#random,
      faults: { lostAnswer: 0, lostRequest: 0, staleRead: 0 },
      callMs: { lowest: 4, highest: 8 },
      ignoresConditions: false,
    });
    this.#service = FakeService.create({
      timers,
      random: this.#random,
      faults: { refused: 0, lostAnswer: 0, lateAnswer: 0 },
      onEffect: () => {},
      onLoss: () => {},
    });
    this.#sidecar = this.#createSidecar(1);
  }

  static create(options: MeasureOptions): MeasureHarness {
    return new MeasureHarness(options);
  }

  run(): MeasureResult {
    const { durationMs, shardCount, outage } = this.#options;
    for (let shard = 0; shard < shardCount; shard++) {
      this.#sidecar.notify(shard, { type: "propose" });
    }
    this.#timers.advance(warmUpMs);
    if (outage !== undefined) this.#scheduleOutage(outage);
    const before = { ...this.#getCost() };
    this.#scheduleCall(this.#timers.nowMs() + durationMs);
    this.#timers.advance(durationMs);
    const after = this.#getCost();
    this.#timers.advance(drainMs);
    return this.#createResult({
      writes: after.writes - before.writes,
      bytes: after.bytes - before.bytes,
    });
  }

  #getCost(): { writes: number; bytes: number } {
    const { writes, writtenBytes } = this.#platform;
    return { writes, bytes: writtenBytes };
  }

  #createSidecar(epoch: number): FakeSidecar {
    return FakeSidecar.create({
      owner: { name: `sidecar-${epoch}`, epoch },
      settings: this.#options.settings,
      timers: this.#timers,
      random: this.#random,
      platform: this.#platform,
      service: this.#service,
      bug: undefined,
      onExposed: () => {},
      getPauseMs: (command) => this.#recordDispatch(command),
    });
  }

  #recordDispatch(command: ShardCommand): number {
    if (command.type !== "dispatch") return 0;
    const arrivedAtMs = this.#arrivedAtMs.get(command.callId) ?? 0;
    const addedMs = this.#timers.nowMs() - arrivedAtMs;
    this.#metrics.record("added-us", addedMs * microsecondsPerMs);
    return 0;
  }

  #scheduleOutage(
    outage: NonNullable<MeasureOptions["outage"]>,
  ): void {
    const { startMs, durationMs, isOwnerKilled } = outage;
    this.#timers.schedule(startMs, () => void (this.#platform.isDown = true));
    this.#timers.schedule(
      startMs + durationMs,
      () => void (this.#platform.isDown = false),
    );
    if (!isOwnerKilled) return;
    this.#timers.schedule(startMs + durationMs / 2, () => {
      this.#sidecar.stop();
      this.#sidecar = this.#createSidecar(2);
    });
  }

  #scheduleCall(endMs: number): void {
    const { callsPerSecond, shardCount } = this.#options;
    const gapMs = -Math.log(1 - this.#random.getFloat()) * 1000 /
      callsPerSecond;
    this.#timers.schedule(gapMs, (nowMs) => {
      if (nowMs >= endMs) return;
      this.#send(this.#random.getInteger(shardCount));
      this.#scheduleCall(endMs);
    });
  }

  #send(shard: number): void {
    const { outage } = this.#options;
    const nowMs = this.#timers.nowMs();
    const isCounted = outage === undefined || this.#platform.isDown;
    this.#calls += 1;
    if (isCounted) this.#counted += 1;
    const id = `call-${this.#calls}`;
    this.#arrivedAtMs.set(id, nowMs);
    this.#sidecar.accept(shard, {
      id,
      key: `w 01890a5d-ac96-774b-bcce-${String(this.#calls).padStart(12, "0")}`,
      issuedAtMs: Math.floor(nowMs),
      requestHash: "0123456789012345678901",
      deadlineAtMs: nowMs + deadlineMs,
      mayClaim: true,
    }, {
      isDisconnected: () => false,
      answer: (answer) => {
        if (!isCounted) return;
        const kind = getAnswerKind(answer);
        this.#answers.set(kind, (this.#answers.get(kind) ?? 0) + 1);
      },
    });
  }

  #createResult(cost: { writes: number; bytes: number }): MeasureResult {
    const shares: { [kind: string]: number } = {};
    let answered = 0;
    for (const [kind, count] of this.#answers) {
      shares[kind] = normalizeShare(count / this.#counted);
      answered += count;
    }
    shares["no answer"] = normalizeShare(1 - answered / this.#counted);
    return {
      calls: this.#calls,
      writesPerCall: normalizeShare(cost.writes / this.#calls),
      bytesPerCall: Math.round(cost.bytes / this.#calls),
      largestObjectBytes: this.#platform.largestBytes,
      addedMs: { p50: this.#getAddedMs(0.5), p99: this.#getAddedMs(0.99) },
      shares,
    };
  }

  #getAddedMs(quantile: number): number {
    const value = this.#metrics.getQuantile("added-us", quantile) ?? 0;
    return normalizeShare(value / microsecondsPerMs);
  }
}

function getAnswerKind(answer: LedgerAnswer): string {
  if (answer.type !== "refused") return answer.type;
  return `${answer.result} ${answer.executed}`;
}

function normalizeShare(value: number): number {
  return Math.round(value * 1000) / 1000;
}
