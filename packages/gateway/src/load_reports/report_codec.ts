import type { Buffer } from "node:buffer";
import type { ReportedLoad } from "@jasminetide/core/pools";
import { Encoder } from "cbor-x/encode";

/** Load that a runner has reported to a gateway, as it is sent to others. */
export type LoadReport = {
  /** `hash32` of the runner's id. */
  runnerHash: number;
  /** Tells processes of one runner apart, see `getProcessTag`. */
  processTag: number;
  /** Age at the time of sending, in milliseconds. */
  ageMs: number;
  load: ReportedLoad;
};

/** Gets a short number that differs between a runner's processes. */
export function getProcessTag(startedAtMs: number): number {
  return startedAtMs % processTags;
}

/** Encodes reports as one datagram: a list of numbers, some for each report. */
export function encodeReports(reports: readonly LoadReport[]): Buffer {
  const numbers = reports.flatMap(({ ageMs, load, processTag, runnerHash }) => [
    runnerHash,
    processTag,
    Math.round(ageMs),
    load.running,
    load.waiting,
    load.slots,
    Math.round((load.slowness ?? 1) * slownessUnits),
  ]);
  return encoder.encode(numbers);
}

/** Decodes a datagram; undefined if it has no reports in this format. */
export function decodeReports(bytes: Buffer): LoadReport[] | undefined {
  const numbers = decodeNumbers(bytes);
  if (numbers === undefined) return undefined;
  const reports: LoadReport[] = [];
  for (let at = 0; at < numbers.length; at += numbersPerReport) {
    const [runnerHash, processTag, ageMs, running, waiting, slots, slowness] =
      numbers.slice(at, at + numbersPerReport);
    const load = {
      running,
      waiting,
      slots,
      slowness: slowness / slownessUnits,
    };
    reports.push({ runnerHash, processTag, ageMs, load });
  }
  return reports;
}

function decodeNumbers(bytes: Buffer): number[] | undefined {
  let value: unknown;
  try {
    value = encoder.decode(bytes);
  } catch {
    // Not CBOR; the caller counts it as malformed.
    return undefined;
  }
  if (!Array.isArray(value) || value.length % numbersPerReport !== 0) {
    return undefined;
  }
  const isValid = value.length <= maxReports * numbersPerReport &&
    value.every((each) => Number.isInteger(each) && each >= 0);
  return isValid ? value : undefined;
}

const encoder = new Encoder();

const numbersPerReport = 7;

/** Limit on the reports that are read from one datagram. */
const maxReports = 100;

/** Slowness is sent in hundredths. */
const slownessUnits = 100;

const processTags = 65_536;
