import type { Buffer } from "node:buffer";
import type { ReportedLoad } from "@jasminetide/core/pools";
import { Encoder } from "cbor-x/encode";

/** A process of a runner, in two numbers. */
export type RunnerTag = {
  /** `hash32` of the runner's id. */
  runnerHash: number;
  /** Tells processes of one runner apart, see `getProcessTag`. */
  processTag: number;
};

/** Load that a runner has reported to a gateway, as it is sent to others. */
export type LoadReport = RunnerTag & {
  /** Age at the time of sending, in milliseconds. */
  ageMs: number;
  load: ReportedLoad;
};

/** An engine that processed a prefix `ageMs` before the time of sending. */
export type HolderReport = RunnerTag & { ageMs: number };

/** What one gateway sends to another as a datagram. */
export type DatagramMessage =
  | { type: "loads"; reports: LoadReport[] }
  /** Asks for the engines that hold a prefix. */
  | { type: "askHolders"; callId: number; prefixId: string }
  /** Answers that. */
  | { type: "tellHolders"; callId: number; holders: HolderReport[] }
  /** States that an engine is sent a prompt with a prefix. */
  | { type: "recordHolder"; prefixId: string; holder: HolderReport };

/** Gets a short number that differs between a runner's processes. */
export function getProcessTag(startedAtMs: number): number {
  return startedAtMs % processTags;
}

/** Encodes a message as a list of its kind and its values (CBOR). */
export function encodeMessage(message: DatagramMessage): Buffer {
  switch (message.type) {
    case "loads":
      return encoder.encode([
        kinds.loads,
        ...message.reports.flatMap(listLoadNumbers),
      ]);
    case "askHolders":
      return encoder.encode([kinds.ask, message.callId, message.prefixId]);
    case "tellHolders":
      return encoder.encode([
        kinds.tell,
        message.callId,
        ...message.holders.flatMap(listHolderNumbers),
      ]);
    case "recordHolder":
      return encoder.encode([
        kinds.record,
        message.prefixId,
        ...listHolderNumbers(message.holder),
      ]);
  }
}

/** Decodes a datagram; undefined if it is no message in this format. */
export function decodeMessage(bytes: Buffer): DatagramMessage | undefined {
  const values = decodeList(bytes);
  if (values === undefined) return undefined;
  const [kind, first, ...rest] = values;
  switch (kind) {
    case kinds.loads: {
      const reports = readRows(values.slice(1), numbersPerLoad, readLoad);
      return reports && { type: "loads", reports };
    }
    case kinds.ask: {
      const [prefixId] = rest;
      if (!isNumber(first) || !isPrefixId(prefixId)) return undefined;
      return { type: "askHolders", callId: first, prefixId };
    }
    case kinds.tell: {
      const holders = readRows(rest, numbersPerHolder, readHolder);
      if (!isNumber(first) || holders === undefined) return undefined;
      return { type: "tellHolders", callId: first, holders };
    }
    case kinds.record: {
      const holders = readRows(rest, numbersPerHolder, readHolder);
      if (!isPrefixId(first) || holders?.length !== 1) return undefined;
      return { type: "recordHolder", prefixId: first, holder: holders[0] };
    }
    default:
      return undefined;
  }
}

function decodeList(bytes: Buffer): unknown[] | undefined {
  try {
    const value: unknown = encoder.decode(bytes);
    return Array.isArray(value) ? value : undefined;
  } catch {
    // Not CBOR; the receiver counts it as malformed.
    return undefined;
  }
}

/** Reads rows of numbers; undefined if there are other values or too many. */
function readRows<Row>(
  values: readonly unknown[],
  numbersPerRow: number,
  read: (numbers: readonly number[]) => Row,
): Row[] | undefined {
  const isWhole = values.length % numbersPerRow === 0 &&
    values.length <= maxRows * numbersPerRow;
  if (!isWhole || !values.every(isNumber)) return undefined;
  const rows: Row[] = [];
  for (let at = 0; at < values.length; at += numbersPerRow) {
    rows.push(read(values.slice(at, at + numbersPerRow)));
  }
  return rows;
}

function isNumber(value: unknown): value is number {
  return Number.isInteger(value) && (value as number) >= 0;
}

function isPrefixId(value: unknown): value is string {
  return typeof value === "string" && value.length <= maxPrefixIdLength;
}

function listLoadNumbers(report: LoadReport): number[] {
  const { ageMs, load, processTag, runnerHash } = report;
  return [
    runnerHash,
    processTag,
    Math.round(ageMs),
    load.running,
    load.waiting,
    load.slots,
    Math.round((load.slowness ?? 1) * slownessUnits),
  ];
}

function readLoad(numbers: readonly number[]): LoadReport {
  const [runnerHash, processTag, ageMs, running, waiting, slots, units] =
    numbers;
  const load = { running, waiting, slots, slowness: units / slownessUnits };
  return { runnerHash, processTag, ageMs, load };
}

function listHolderNumbers(holder: HolderReport): number[] {
  return [holder.runnerHash, holder.processTag, Math.round(holder.ageMs)];
}

function readHolder(numbers: readonly number[]): HolderReport {
  const [runnerHash, processTag, ageMs] = numbers;
  return { runnerHash, processTag, ageMs };
}

const encoder = new Encoder();

/** First value of each message. */
const kinds = { loads: 0, ask: 1, tell: 2, record: 3 } as const;

const numbersPerLoad = 7;
const numbersPerHolder = 3;

/** Limit on the rows that are read from one datagram. */
const maxRows = 100;

const maxPrefixIdLength = 200;

/** Slowness is sent in hundredths. */
const slownessUnits = 100;

const processTags = 65_536;
