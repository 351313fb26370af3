import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { AppError } from "@jasminetide/core/results";

/**
 * Reads the whole body of a request, or nothing where the caller leaves first.
 *
 * @returns undefined when the connection closed before the end of the body.
 * @throws AppError `bodyTooLarge`.
 */
export function readWholeBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= limitBytes) {
        chunks.push(chunk);
        return;
      }
      chunks.length = 0;
      reject(
        AppError.create("bodyTooLarge", `Body exceeds ${limitBytes} bytes`),
      );
    });
    request.on("end", () => resolve(Buffer.concat(chunks, sizeBytes)));
    request.on("close", () => resolve(undefined));
    request.on("error", () => resolve(undefined));
  });
}
