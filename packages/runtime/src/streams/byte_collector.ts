import { Buffer } from "node:buffer";

/**
 * Collects bytes that arrive in pieces. Pieces are copied into shared blocks, so
 * that the memory follows the bytes and not the number of pieces.
 */
export class ByteCollector {
  /** Full blocks, in order. */
  #blocks: Buffer[] = [];
  /** Block that is being filled. */
  #open: Buffer = emptyBytes;
  #openBytes = 0;
  #sizeBytes = 0;

  private constructor() {}

  /** Creates a collector without bytes. */
  static create(): ByteCollector {
    return new ByteCollector();
  }

  /** Number of collected bytes. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Appends a piece, which the caller must not change afterwards. */
  append(piece: Buffer): void {
    if (piece.length === 0) return;
    if (this.#sizeBytes === 0) this.#blocks.push(piece);
    else this.#copy(piece);
    this.#sizeBytes += piece.length;
  }

  /** Removes and returns all bytes. */
  take(): Buffer {
    const blocks = this.#blocks;
    if (this.#openBytes > 0) {
      blocks.push(this.#open.subarray(0, this.#openBytes));
    }
    this.clear();
    return blocks.length === 1 ? blocks[0] : Buffer.concat(blocks);
  }

  /** Drops all bytes. */
  clear(): void {
    this.#blocks = [];
    this.#open = emptyBytes;
    this.#openBytes = 0;
    this.#sizeBytes = 0;
  }

  #copy(piece: Buffer): void {
    let begin = 0;
    while (begin < piece.length) {
      if (this.#openBytes === this.#open.length) {
        this.#addBlock(piece.length - begin);
      }
      const copied = piece.copy(this.#open, this.#openBytes, begin);
      begin += copied;
      this.#openBytes += copied;
    }
  }

  /** Adds a block, the larger the more bytes there are. */
  #addBlock(neededBytes: number): void {
    if (this.#openBytes > 0) this.#blocks.push(this.#open);
    const blockBytes = Math.min(this.#sizeBytes, maxBlockBytes);
    this.#open = Buffer.allocUnsafe(
      Math.max(neededBytes, blockBytes, minBlockBytes),
    );
    this.#openBytes = 0;
  }
}

const emptyBytes = Buffer.alloc(0);

const minBlockBytes = 512;
const maxBlockBytes = 64 * 1024;
