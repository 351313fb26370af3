/** The platform's object API with faults, for runs of the ledger. */
import type { RandomSource } from "@jasminetide/core/random";
import { decodePosition, encodePosition } from "@jasminetide/core/store";
import type { TimerService } from "@jasminetide/core/timers";
import {
  ObjectStore,
  type StoreCopy,
  type StoreRow,
} from "@jasminetide/stand_in/object_api";

/** Probabilities of the platform's faults. */
export type PlatformFaultRates = {
  /** A request takes effect but its answer is lost. */
  lostAnswer: number;
  /** A request does not arrive. */
  lostRequest: number;
  /** A read returns the version before the last. */
  staleRead: number;
};

/** Dependencies and behaviour of the platform. */
export type FakePlatformOptions = {
  timers: TimerService;
  random: RandomSource;
  faults: PlatformFaultRates;
  /** Range of the round-trip time of a call. */
  callMs: { lowest: number; highest: number };
  /** Injected bug: writes ignore their condition. */
  ignoresConditions: boolean;
};

/** Result of a write; a `lost` one may or may not have taken effect. */
export type WriteResult =
  | { type: "written"; version: number }
  | { type: "conflict"; version: number }
  | { type: "lost" };

/** Result of a read. */
export type ReadResult =
  | { type: "read"; version: number; value: string | undefined }
  | { type: "lost" };

type Lost = { type: "lost" };

/** Time after which a caller considers its answer lost. */
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

  /** Replaces all objects by those of a copy. */
  restore(copy: StoreCopy): void {
    this.store.restore(copy);
    this.#previous.clear();
  }

  /** Reads an object. */
  read(path: string, answer: (result: ReadResult) => void): void {
    this.reads += 1;
    this.#request<ReadResult>((isAnswerLost) => {
      if (isAnswerLost) return undefined;
      const isStale = this.#drawFault("staleRead");
      const row = isStale ? this.#previous.get(path) : this.store.get(path);
      return {
        type: "read",
        version: this.#encode(row?.version ?? 0),
        value: row?.value,
      };
    }, answer);
  }

  /** Writes an object at the encoded position `expected`; 0 if it is absent. */
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
    const expected = decodePosition(write.expected);
    const { ignoresConditions } = this.#options;
    if (!ignoresConditions && expected.epoch !== this.store.epoch) {
      return { type: "conflict", version: this.#encode(before?.version ?? 0) };
    }
    const condition = ignoresConditions
      ? "any"
      : expected.revision === 0
      ? "absent"
      : { version: expected.revision };
    const result = this.store.put(path, write.value, condition);
    if (result.type === "written" && before !== undefined) {
      this.#previous.set(path, before);
    }
    return { type: result.type, version: this.#encode(result.version) };
  }

  #encode(revision: number): number {
    return encodePosition({ epoch: this.store.epoch, revision });
  }

  /**
   * Calls `run` after half of the round-trip time; an undefined result means
   * that the answer is lost.
   */
  #request<Result>(
    run: (isAnswerLost: boolean) => Result | undefined,
    answer: (result: Result | Lost) => void,
  ): void {
    const { timers, random } = this.#options;
    const { lowest, highest } = this.#options.callMs;
    const halfMs = (lowest + random.getFloat() * (highest - lowest)) / 2;
    const scheduleLost = () =>
      void timers.schedule(timeoutMs, () => answer({ type: "lost" }));
    if (this.#drawFault("lostRequest")) {
      scheduleLost();
      return;
    }
    timers.schedule(halfMs, () => {
      if (this.isDown) {
        scheduleLost();
        return;
      }
      const result = run(this.#drawFault("lostAnswer"));
      if (result === undefined) scheduleLost();
      else timers.schedule(halfMs, () => answer(result));
    });
  }

  #drawFault(fault: keyof PlatformFaultRates): boolean {
    return this.#options.random.getFloat() < this.#options.faults[fault];
  }
}
