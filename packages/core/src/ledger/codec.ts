import { Buffer } from "node:buffer";
import { Decoder, Encoder } from "cbor-x";
import * as z from "zod";
import { AppError } from "../results/mod.ts";
import type { JournalHead, JournalSegment, LedgerEntry } from "./journal.ts";

/** Version of the journal's storage format. */
export const journalFormatVersion = 1;

// Encodes the field names of objects of the same shape once per message.
const codecOptions = { useRecords: true };
const encoder = new Encoder(codecOptions);
const decoder = new Decoder(codecOptions);

const timeMs = z.number();
const version = z.number().int().nonnegative();
const windowSchema = z.object({ fromMs: timeMs, limitMs: timeMs });

const answerSchema = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  body: z.instanceof(Uint8Array),
});

const entrySchema: z.ZodType<LedgerEntry> = z.object({
  key: z.string(),
  issuedAtMs: z.union([timeMs, z.undefined()]),
  requestHash: z.string(),
  recordedAtMs: timeMs,
  state: z.enum(["intent", "done", "unknown"]),
  answer: z.union([answerSchema, z.undefined()]),
});

const segmentSchema: z.ZodType<JournalSegment> = z.object({
  entries: z.array(entrySchema),
});

const headSchema: z.ZodType<JournalHead> = z.object({
  owner: z.union([
    z.object({ name: z.string(), epoch: version }),
    z.undefined(),
  ]),
  writeId: z.string(),
  storeEpoch: version.default(0),
  floorMs: timeMs,
  forgottenThroughMs: timeMs,
  window: z.union([windowSchema, z.undefined()]),
  doubts: z.array(windowSchema),
  untimedDoubtUntilMs: timeMs.default(0),
  slots: z.array(z.object({
    version,
    isUsed: z.boolean(),
    newestIssuedAtMs: timeMs,
    sealedAtMs: timeMs,
  })),
  entries: z.array(entrySchema),
});

/** Encodes a journal head as text for the object API. */
export function encodeHead(head: JournalHead): string {
  return encode("head", head);
}

/**
 * Decodes a journal head.
 *
 * @throws AppError `invalidMessage` for another kind, format or shape.
 */
export function decodeHead(text: string): JournalHead {
  return decode(text, { kind: "head", schema: headSchema });
}

/** Encodes a segment as text for the object API. */
export function encodeSegment(segment: JournalSegment): string {
  return encode("segment", segment);
}

/**
 * Decodes a segment.
 *
 * @throws AppError `invalidMessage` for another kind, format or shape.
 */
export function decodeSegment(text: string): JournalSegment {
  return decode(text, { kind: "segment", schema: segmentSchema });
}

function encode(kind: string, content: unknown): string {
  const bytes = encoder.encode([journalFormatVersion, kind, content]);
  return Buffer.from(bytes).toString("base64");
}

function decode<Content>(
  text: string,
  expected: { kind: string; schema: z.ZodType<Content> },
): Content {
  const { kind, schema } = expected;
  const fields = decodeFields(text);
  const [format, found, content] = fields;
  if (format !== journalFormatVersion || found !== kind) {
    throw AppError.create(
      "invalidMessage",
      `Journal is a ${formatField(found)} of format ${formatField(format)}, ` +
        `expected a ${kind} of format ${journalFormatVersion}`,
    );
  }
  const result = schema.safeParse(content);
  if (result.success) return result.data;
  throw AppError.create(
    "invalidMessage",
    `Journal ${kind} is malformed at ` +
      result.error.issues.map((issue) => issue.path.join(".")).join(", "),
  );
}

function decodeFields(text: string): unknown[] {
  try {
    const fields: unknown = decoder.decode(Buffer.from(text, "base64"));
    return Array.isArray(fields) ? fields : [];
  } catch (cause) {
    throw AppError.create("invalidMessage", "Journal is not CBOR", { cause });
  }
}

function formatField(value: unknown): string {
  return JSON.stringify(value) ?? "absent value";
}
