import * as z from "zod";

/** Maximum length of the names in a record. */
const maxNameLength = 200;

const nameSchema = z.string().max(maxNameLength);

/** Schema of what a gateway tells others of the streams that it relays. */
export const streamRecordSchema = z.object({
  /** Time of day at which it was written, in Unix milliseconds. */
  writtenAtMs: z.number(),
  services: z.record(
    nameSchema,
    z.object({
      /** Software versions that may have begun streams. */
      versions: z.array(nameSchema),
      /** Attempts that brought the first events of streams, by version. */
      streams: z.record(nameSchema, z.array(nameSchema)),
    }),
  ),
});

/** What a gateway tells others of the streams that it relays. */
export type StreamRecord = z.output<typeof streamRecordSchema>;

/**
 * Records of all gateways in the store, which outlast the gateways: after all of
 * them were killed, nobody else knows which version began a stream.
 */
export type StreamRegistry = {
  /** @throws AppError `platformUnavailable` or `platformLimited`. */
  list: () => Promise<Map<string, StreamRecord>>;
  /** @throws AppError `platformUnavailable` or `platformLimited`. */
  write: (name: string, record: StreamRecord) => Promise<void>;
  /** @throws AppError `platformUnavailable` or `platformLimited`. */
  remove: (name: string) => Promise<void>;
};
