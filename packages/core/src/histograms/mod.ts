/**
 * Histograms of durations (HdrHistogram). Only the module of the histogram
 * itself is loaded: the package's main module prepares number formats, which
 * takes longer than the rest of a process's start.
 */
import int32Histogram from "hdr-histogram-js/dist/Int32Histogram.js";
import type { Histogram } from "hdr-histogram-js";

export type { Histogram };

/** Creates an empty histogram, which grows with the values recorded. */
export function createHistogram(significantDigits: number): Histogram {
  const histogram = new int32Histogram.default(1, 2, significantDigits);
  histogram.autoResize = true;
  return histogram;
}
