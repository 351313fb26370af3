import { Buffer } from "node:buffer";
import { Decoder, Encoder } from "cbor-x";
import { AppError } from "../results/mod.ts";
import type { JournalHead, JournalSegment } from "./journal.ts";

/** Version of the journal's format. */
export const journalFormatVersion = 1;

// Records name the fields of equal objects once in each message.
const codecOptions = { useRecords: true };
const encoder = new Encoder(codecOptions);
const decoder = new Decoder(codecOptions);

/** Encodes a journal head as text for the object API. */
export function encodeHead(head: JournalHead): string {
  return encode("head", head);
}

/**
 * Decodes a journal head.
 *
 * @throws AppError `invalidMessage` for another kind or format version.
 */
export function decodeHead(text: string): JournalHead {
  return decode("head", text) as JournalHead;
}

/** Encodes a segment as text for the object API. */
export function encodeSegment(segment: JournalSegment): string {
  return encode("segment", segment);
}

/**
 * Decodes a segment.
 *
 * @throws AppError `invalidMessage` for another kind or format version.
 */
export function decodeSegment(text: string): JournalSegment {
  return decode("segment", text) as JournalSegment;
}

function encode(kind: string, content: unknown): string {
  const bytes = encoder.encode([journalFormatVersion, kind, content]);
  return Buffer.from(bytes).toString("base64");
}

function decode(kind: string, text: string): unknown {
  const [version, found, content] = decoder.decode(
    Buffer.from(text, "base64"),
  ) as [number, string, unknown];
  if (version === journalFormatVersion && found === kind) return content;
  throw AppError.create(
    "invalidMessage",
    `Journal is a ${found} of format ${version}, expected a ${kind} of ` +
      `format ${journalFormatVersion}`,
  );
}
