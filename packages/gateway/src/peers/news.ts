import { Buffer } from "node:buffer";
import { constants, deflateRawSync, inflateRawSync } from "node:zlib";
import type { RoutingDeclaration } from "@jasminetide/core/routes";
import type { StorePosition } from "@jasminetide/core/store";
import * as z from "zod";
import type { Evacuation } from "../evacuations/mod.ts";
import type { ObjectNews } from "../following/mod.ts";
import type { RunnerRecord } from "../upstreams/mod.ts";

/** Positions up to which a gateway has the objects of each kind. */
export type NewsPositions = {
  declarations: StorePosition;
  runners: StorePosition;
  /** Absent where the deployment has no evacuations. */
  evacuations?: StorePosition;
};

/** Schema of a position of the store. */
export const positionSchema = z.object({
  epoch: z.number(),
  revision: z.number(),
});

/** Schema of the positions that a gateway sends when it subscribes. */
export const newsPositionsSchema: z.ZodType<NewsPositions> = z.object({
  declarations: positionSchema,
  runners: positionSchema,
  evacuations: positionSchema.optional(),
});

/** Changes of the objects that gateways follow. */
export type News = {
  /** Absent if nothing has changed; the same holds for the others. */
  declarations?: ObjectNews<RoutingDeclaration>;
  runners?: ObjectNews<RunnerRecord>;
  evacuations?: ObjectNews<Evacuation>;
};

/** Changes as they are sent: as they are, or as compressed text. */
export type PackedNews = News | { packed: string };

/** Compresses changes that are long; these are mostly whole declarations. */
export function packNews(news: News): PackedNews {
  const text = JSON.stringify(news);
  if (text.length < minPackedLength) return news;
  const bytes = deflateRawSync(text, { level: constants.Z_BEST_SPEED });
  return { packed: bytes.toString("base64") };
}

/** Restores changes that were sent. */
export function unpackNews(packed: PackedNews): News {
  if (!("packed" in packed)) return packed;
  const bytes = Buffer.from(packed.packed, "base64");
  const options = { maxOutputLength: maxUnpackedBytes };
  return JSON.parse(inflateRawSync(bytes, options).toString("utf8"));
}

/** Length of text from which compressing it saves more than it costs. */
const minPackedLength = 2048;

/** Limit on the size of unpacked changes: the state of 3,000 runners and more. */
const maxUnpackedBytes = 64 * 1024 * 1024;

/** One line of the stream that a gateway sends to those that follow it. */
export type NewsLine =
  | {
    isCurrent: true;
    /** Time of sending on the sender's steady clock. */
    sentAtMs: number;
    /** Time since the store last confirmed what the sender has. */
    ageMs: number;
    /** Changes, see `packNews`. */
    news: PackedNews;
  }
  /** The store has not answered the sender for too long; the stream ends. */
  | { isCurrent: false };
