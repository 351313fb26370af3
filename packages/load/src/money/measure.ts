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

/** One measurement of one sidecar under steady load. */
export type MeasureOptions = {
  seed: number;
  callsPerSecond: number;
  shardCount: number;
  settings: ShardSettings;
  durationMs: number;
  /** Where the platform is down, and whether the owner dies in the middle. */
  outage?: { startMs: number; durationMs: number; isOwnerKilled: boolean };
};

/** What a measurement found. */
export type MeasureResult = {
  calls: number;
  writesPerCall: number;
  bytesPerCall: number;
  largestObjectBytes: number;
  /** Time from arrival to dispatch, in milliseconds. */
  addedMs: { p50: number; p99: number };
  /** Answers by kind, as a share of the calls during the outage or all. */
  shares: { [kind: string]: number };
};

const startMs = 1_000_000;
const warmUpMs = 2000;
const drainMs = 40_000;
const deadlineMs = 10_000;
const microsecondsPerMs = 1000;

/** Measures writes, bytes, added time and answers of the ledger. */
export function measureLedger(options: MeasureOptions): MeasureResult {
  const bench = MeasureBench.create(options);
  return bench.run();
}

class MeasureBench {
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

  static create(options: MeasureOptions): MeasureBench {
    return new MeasureBench(options);
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
      isGone: () => false,
      answer: (answer) => {
        if (!isCounted) return;
        const kind = getKind(answer);
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

function getKind(answer: LedgerAnswer): string {
  if (answer.type !== "refused") return answer.type;
  return `${answer.result} ${answer.executed}`;
}

function normalizeShare(value: number): number {
  return Math.round(value * 1000) / 1000;
}
