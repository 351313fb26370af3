import process from "node:process";
import { performance } from "node:perf_hooks";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** One measured point: `y` at the size `x`. */
export type Point = { x: number; y: number };

/** A straight line fitted to measured points. */
export type Line = { slope: number; intercept: number };

setFlagsFromString("--expose_gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Measures the heap size of a structure at each size, in bytes. */
export function measureHeap(
  sizes: readonly number[],
  create: (size: number) => unknown,
): Point[] {
  return sizes.map((size) => {
    const before = getLiveBytes();
    const held = create(size);
    const after = getLiveBytes();
    // The reference keeps the structure alive until here.
    return { x: size, y: held === undefined ? 0 : after - before };
  });
}

/** Measures the time of one operation at each size, in microseconds. */
export function measureTime(
  sizes: readonly number[],
  options: { repeats: number; prepare: (size: number) => () => void },
): Point[] {
  const { prepare, repeats } = options;
  // Warms up the just-in-time compiler.
  for (const size of sizes) timeOperation(prepare(size), repeats);
  return sizes.map((size) => ({
    x: size,
    y: timeOperation(prepare(size), repeats) * 1000,
  }));
}

/** Measures the mean time of an operation, in milliseconds. */
function timeOperation(operate: () => void, repeats: number): number {
  const begin = performance.now();
  for (let index = 0; index < repeats; index++) operate();
  return (performance.now() - begin) / repeats;
}

/** Fits a line to points by least squares. */
export function fitLine(points: readonly Point[]): Line {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  const covariance = points.reduce(
    (sum, { x, y }) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}

function getLiveBytes(): number {
  collectGarbage();
  collectGarbage();
  const { arrayBuffers, heapUsed } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
