import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { AppError } from "@jasminetide/core/results";
import { ByteCollector } from "../streams/mod.ts";
import type { ReadPacer } from "./read_pacer.ts";

/** What is called while a body arrives. */
export type CollectBodyOptions = {
  /** Shares the event loop among the connections of this process. */
  pacer?: ReadPacer;
  /** Called with the size of what is kept so far. */
  onSize?: (bytes: number) => void;
  /** Called with a function that fails the call and discards the body. */
  onReading?: (discard: (error: Error) => void) => void;
};

/**
 * Collects the body of a message. The rest of an oversized one is read and
 * discarded, so that its sender can receive an answer.
 *
 * @throws AppError `bodyTooLarge`, the error of the message, or that with which
 * the body was discarded.
 */
export function collectBody(
  message: IncomingMessage,
  limitBytes: number,
  { onReading, onSize, pacer }: CollectBodyOptions = {},
): Promise<Buffer> {
  const { socket } = message;
  pacer?.add(socket);
  return new Promise((resolve, reject) => {
    const body = ByteCollector.create();
    let isDiscarded = false;
    const discard = (error: Error) => {
      isDiscarded = true;
      body.clear();
      reject(error);
    };
    message.on("data", (piece: Buffer) => {
      pacer?.recordPiece(socket, piece.length);
      if (isDiscarded) return;
      body.append(piece);
      if (body.sizeBytes <= limitBytes) onSize?.(body.sizeBytes);
      else discard(createSizeError(limitBytes));
    });
    message.on("end", () => resolve(body.take()));
    message.on("error", reject);
    onReading?.(discard);
  });
}

function createSizeError(limitBytes: number): AppError {
  return AppError.create("bodyTooLarge", `Body exceeds ${limitBytes} bytes`);
}
