import type { RandomSource } from "@jasminetide/core/random";
import type { TimerService } from "@jasminetide/core/timers";
import { ObjectStore, type StoreRow } from "@jasminetide/stand_in/object_api";

/** Faults of the platform, by probability. */
export type PlatformFaultRates = {
  /** A write takes effect and its answer is lost. */
  lostAnswer: number;
  /** A request does not arrive. */
  lostRequest: number;
  /** A read shows the version before the last. */
  staleRead: number;
};

/** How the platform behaves. */
export type FakePlatformOptions = {
  timers: TimerService;
  random: RandomSource;
  faults: PlatformFaultRates;
  /** Time of one call there and back, lowest and highest. */
  callMs: { lowest: number; highest: number };
  /** Planted fault: writes ignore their condition. */
  ignoresConditions: boolean;
};

/** Result of a write; `lost` may or may not have taken effect. */
export type WriteResult =
  | { type: "written"; version: number }
  | { type: "conflict"; version: number }
  | { type: "lost" };

/** Result of a read. */
export type ReadResult =
  | { type: "read"; version: number; value: string | undefined }
  | { type: "lost" };

type Lost = { type: "lost" };

/** After this time a caller takes its answer for lost. */
const timeoutMs = 500;

/** The object API with outages, lost answers and stale reads. */
export class FakePlatform {
  readonly store = ObjectStore.create();
  readonly #options: FakePlatformOptions;
  readonly #previous = new Map<string, StoreRow>();
  isDown = false;
  writes = 0;
  reads = 0;
  writtenBytes = 0;
  largestBytes = 0;

  private constructor(options: FakePlatformOptions) {
    this.#options = options;
  }

  /** Creates an empty platform. */
  static create(options: FakePlatformOptions): FakePlatform {
    return new FakePlatform(options);
  }

  /** Reads an object. */
  read(path: string, answer: (result: ReadResult) => void): void {
    this.reads += 1;
    this.#request<ReadResult>((isAnswerLost) => {
      if (isAnswerLost) return undefined;
      const isStale = this.#isHit("staleRead");
      const row = isStale ? this.#previous.get(path) : this.store.get(path);
      return { type: "read", version: row?.version ?? 0, value: row?.value };
    }, answer);
  }

  /** Writes an object; `expected` 0 stands for an absent one. */
  write(
    path: string,
    write: { value: string; expected: number },
    answer: (result: WriteResult) => void,
  ): void {
    this.writes += 1;
    this.writtenBytes += write.value.length;
    this.largestBytes = Math.max(this.largestBytes, write.value.length);
    this.#request<WriteResult>((isAnswerLost) => {
      const result = this.#put(path, write);
      return isAnswerLost ? undefined : result;
    }, answer);
  }

  #put(
    path: string,
    write: { value: string; expected: number },
  ): WriteResult {
    const before = this.store.get(path);
    const condition = this.#options.ignoresConditions
      ? "any"
      : write.expected === 0
      ? "absent"
      : { version: write.expected };
    const result = this.store.put(path, write.value, condition);
    if (result.type === "written" && before !== undefined) {
      this.#previous.set(path, before);
    }
    return result;
  }

  /** Runs the effect half way; an undefined result is a lost answer. */
  #request<Result>(
    run: (isAnswerLost: boolean) => Result | undefined,
    answer: (result: Result | Lost) => void,
  ): void {
    const { timers, random } = this.#options;
    const { lowest, highest } = this.#options.callMs;
    const halfMs = (lowest + random.getFloat() * (highest - lowest)) / 2;
    const lose = () =>
      void timers.schedule(timeoutMs, () => answer({ type: "lost" }));
    if (this.#isHit("lostRequest")) {
      lose();
      return;
    }
    timers.schedule(halfMs, () => {
      if (this.isDown) {
        lose();
        return;
      }
      const result = run(this.#isHit("lostAnswer"));
      if (result === undefined) lose();
      else timers.schedule(halfMs, () => answer(result));
    });
  }

  #isHit(fault: keyof PlatformFaultRates): boolean {
    return this.#options.random.getFloat() < this.#options.faults[fault];
  }
}
