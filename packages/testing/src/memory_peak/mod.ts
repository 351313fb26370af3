import assert from "node:assert/strict";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Memory in use, in bytes. */
type Usage = {
  /** Objects. */
  heap: number;
  /** Objects and the contents of buffers. */
  all: number;
};

/** Observes how much the memory of this process grows. */
export class MemoryPeak {
  readonly #atStart = getUsage();
  #heapBytes = 0;
  #allBytes = 0;

  private constructor() {}

  /** Collects garbage and starts to observe. */
  static create(): MemoryPeak {
    collectGarbage();
    return new MemoryPeak();
  }

  /** Takes the current memory into account, garbage included. */
  observe(): void {
    const { all, heap } = getUsage();
    this.#heapBytes = Math.max(this.#heapBytes, heap - this.#atStart.heap);
    this.#allBytes = Math.max(this.#allBytes, all - this.#atStart.all);
  }

  /** Takes the current memory into account, without garbage. */
  observeLive(): void {
    collectGarbage();
    this.observe();
  }

  /** Whether what is in use now, without garbage, has grown by less. */
  isLiveBelow(limitMib: number): boolean {
    collectGarbage();
    return getUsage().all - this.#atStart.all < limitMib * 1024 * 1024;
  }

  /** Checks the growth of the heap. */
  assertHeapBelow(limitMib: number): void {
    assertBelow(this.#heapBytes, limitMib);
  }

  /** Checks the growth of the heap and the contents of buffers. */
  assertMemoryBelow(limitMib: number): void {
    assertBelow(this.#allBytes, limitMib);
  }
}

function getUsage(): Usage {
  const { arrayBuffers, heapUsed } = process.memoryUsage();
  return { heap: heapUsed, all: heapUsed + arrayBuffers };
}

function assertBelow(bytes: number, limitMib: number): void {
  assert.ok(bytes < limitMib * 1024 * 1024, `${bytes} bytes`);
}
