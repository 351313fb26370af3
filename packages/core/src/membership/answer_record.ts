import { Buffer } from "node:buffer";
import { Encoder } from "cbor-x";
import { AppError } from "../results/mod.ts";
import type { DigestRecord, WireId } from "./record.ts";

type EncodedRecord = [
  number,
  number,
  number,
  number,
  number,
  number,
  number,
];

const fieldCount = 7;

const encoder = new Encoder({ useRecords: false });

/** Encodes a sidecar's member record for the header of its answers. */
export function encodeAnswerRecord(record: DigestRecord): string {
  const fields: EncodedRecord = [
    record.epoch,
    record.sequence,
    Math.round(record.loadTokens),
    record.capacity,
    record.isLeaving ? 1 : 0,
    record.configurationVersion,
    record.identitySequence,
  ];
  return Buffer.from(encoder.encode(fields)).toString("base64url");
}

/**
 * Decodes the member record in an answer's header. Its age is 0, because the
 * member creates it together with the answer.
 *
 * @throws AppError `invalidMessage` when the text is not a member record.
 */
export function decodeAnswerRecord(text: string, wireId: WireId): DigestRecord {
  const fields = decodeFields(text);
  if (fields.length !== fieldCount || !fields.every(Number.isFinite)) {
    throw AppError.create(
      "invalidMessage",
      "Cannot decode the member record in an answer's header",
    );
  }
  const [
    epoch,
    sequence,
    loadTokens,
    capacity,
    flag,
    configurationVersion,
    identitySequence,
  ] = fields;
  return {
    wireId,
    epoch,
    sequence,
    loadTokens,
    capacity,
    isLeaving: flag === 1,
    configurationVersion,
    identitySequence,
    ageMs: 0,
  };
}

function decodeFields(text: string): number[] {
  try {
    const fields = encoder.decode(Buffer.from(text, "base64url"));
    return Array.isArray(fields) ? fields.map(Number) : [];
  } catch {
    return [];
  }
}
