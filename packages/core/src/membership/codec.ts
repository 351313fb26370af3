import { Encoder } from "cbor-x";
import * as z from "zod";
import { AppError } from "../results/mod.ts";
import {
  decodeIdentity,
  encodedIdentitySchema,
  encodeIdentity,
} from "./identity.ts";
import type { DigestRecord, MemberIdentity, WireId } from "./record.ts";

/**
 * Compact load update of a member. Epoch and sequence are truncated to 16 bits;
 * a receiver that does not have the epoch requests the full record from the
 * member itself.
 */
export type LoadRecord = {
  wireId: WireId;
  epochTag: number;
  sequenceTag: number;
  loadTokens: number;
  ageMs: number;
};

/** Gossip message between members, sent as one datagram. */
export type Digest = {
  sender: WireId;
  /** Highest configuration version that the sender holds. */
  configurationVersion: number;
  records: DigestRecord[];
  loads: LoadRecord[];
  /** Members whose full record the sender requests. */
  wanted: WireId[];
  identities: MemberIdentity[];
};

/** Bytes of a full record in a digest. */
export const recordBytes = 32;

/** Bytes of a load record in a digest. */
export const loadBytes = 11;

/** Bytes of an identifier in `Digest.wanted`. */
export const wantedBytes = 4;

/** Upper bound of a digest's bytes without its entries. */
export const digestOverheadBytes = 72;

const formatNumber = 1;
const tagModulus = 65_536;
const ageUnitMs = 100;
const maxAgeUnits = 255;
const loadStepsPerDoubling = 2048;
const leavingFlag = 1;

const encoder = new Encoder({ useRecords: false });

/** Truncates an epoch or sequence to its low 16 bits. */
export function getTag(value: number): number {
  return value % tagModulus;
}

/** Expands a truncated sequence to the value nearest to `known`. */
export function resolveSequence(tag: number, known: number): number {
  const difference = (tag - getTag(known) + tagModulus) % tagModulus;
  return known +
    (difference < tagModulus / 2 ? difference : difference - tagModulus);
}

/** Encodes a digest as CBOR with one typed array per column. */
export function encodeDigest(digest: Digest): Uint8Array {
  return encoder.encode([
    formatNumber,
    digest.sender,
    digest.configurationVersion,
    digest.records.length === 0 ? 0 : encodeRecords(digest.records),
    digest.loads.length === 0 ? 0 : encodeLoads(digest.loads),
    digest.wanted.length === 0 ? 0 : Uint32Array.from(digest.wanted),
    digest.identities.length === 0 ? 0 : digest.identities.map(encodeIdentity),
  ]);
}

/**
 * Decodes a digest.
 *
 * @throws AppError `invalidMessage` when the bytes are not a valid digest.
 */
export function decodeDigest(bytes: Uint8Array): Digest {
  try {
    const [, sender, configurationVersion, records, loads, wanted, rest] =
      digestSchema.parse(encoder.decode(bytes));
    if (records !== 0) checkColumns(records);
    if (loads !== 0) checkColumns(loads);
    return {
      sender,
      configurationVersion,
      records: records === 0 ? [] : decodeRecords(records),
      loads: loads === 0 ? [] : decodeLoads(loads),
      wanted: wanted === 0 ? [] : [...wanted],
      identities: rest === 0 ? [] : rest.map(decodeIdentity),
    };
  } catch (cause) {
    throw AppError.create("invalidMessage", "Cannot decode digest", {
      cause,
    });
  }
}

const recordColumnsSchema = z.tuple([
  z.instanceof(Uint32Array),
  z.instanceof(Float64Array),
  z.instanceof(Uint32Array),
  z.instanceof(Uint16Array),
  z.instanceof(Float32Array),
  z.instanceof(Uint8Array),
  z.instanceof(Uint32Array),
  z.instanceof(Uint8Array),
  z.instanceof(Uint32Array),
]);

const loadColumnsSchema = z.tuple([
  z.instanceof(Uint32Array),
  z.instanceof(Uint16Array),
  z.instanceof(Uint16Array),
  z.instanceof(Uint16Array),
  z.instanceof(Uint8Array),
]);

const none = z.literal(0);

const digestSchema = z.tuple([
  z.literal(formatNumber),
  z.number().int().nonnegative(),
  z.number().int().nonnegative(),
  z.union([recordColumnsSchema, none]),
  z.union([loadColumnsSchema, none]),
  z.union([z.instanceof(Uint32Array), none]),
  z.union([z.array(encodedIdentitySchema), none]),
]);

type RecordColumns = z.output<typeof recordColumnsSchema>;

type LoadColumns = z.output<typeof loadColumnsSchema>;

function encodeRecords(records: DigestRecord[]): RecordColumns {
  return [
    Uint32Array.from(records, (record) => record.wireId),
    Float64Array.from(records, (record) => record.epoch),
    Uint32Array.from(records, (record) => record.sequence),
    Uint16Array.from(records, (record) => encodeLoad(record.loadTokens)),
    Float32Array.from(records, (record) => record.capacity),
    Uint8Array.from(
      records,
      (record) => record.isLeaving ? leavingFlag : 0,
    ),
    Uint32Array.from(records, (record) => record.configurationVersion),
    Uint8Array.from(records, (record) => encodeAge(record.ageMs)),
    Uint32Array.from(records, (record) => record.identitySequence),
  ];
}

function decodeRecords(columns: RecordColumns): DigestRecord[] {
  const [
    ids,
    epochs,
    sequences,
    loads,
    capacities,
    flags,
    versions,
    ages,
    identitySequences,
  ] = columns;
  return Array.from(ids, (wireId, index) => ({
    wireId,
    epoch: epochs[index],
    sequence: sequences[index],
    loadTokens: decodeLoad(loads[index]),
    capacity: capacities[index],
    isLeaving: (flags[index] & leavingFlag) !== 0,
    configurationVersion: versions[index],
    identitySequence: identitySequences[index],
    ageMs: ages[index] * ageUnitMs,
  }));
}

function encodeLoads(loads: LoadRecord[]): LoadColumns {
  return [
    Uint32Array.from(loads, (load) => load.wireId),
    Uint16Array.from(loads, (load) => load.epochTag),
    Uint16Array.from(loads, (load) => load.sequenceTag),
    Uint16Array.from(loads, (load) => encodeLoad(load.loadTokens)),
    Uint8Array.from(loads, (load) => encodeAge(load.ageMs)),
  ];
}

function decodeLoads(columns: LoadColumns): LoadRecord[] {
  const [ids, epochTags, sequenceTags, loads, ages] = columns;
  return Array.from(ids, (wireId, index) => ({
    wireId,
    epochTag: epochTags[index],
    sequenceTag: sequenceTags[index],
    loadTokens: decodeLoad(loads[index]),
    ageMs: ages[index] * ageUnitMs,
  }));
}

function checkColumns(columns: { length: number }[]): void {
  if (columns.every((column) => column.length === columns[0].length)) return;
  throw new Error("Digest columns differ in length");
}

function encodeAge(ageMs: number): number {
  return Math.min(maxAgeUnits, Math.round(ageMs / ageUnitMs));
}

/** Uses logarithmic steps, which keeps the relative error below 0.02 %. */
function encodeLoad(tokens: number): number {
  return Math.min(
    tagModulus - 1,
    Math.round(Math.log2(1 + tokens) * loadStepsPerDoubling),
  );
}

function decodeLoad(steps: number): number {
  return 2 ** (steps / loadStepsPerDoubling) - 1;
}
