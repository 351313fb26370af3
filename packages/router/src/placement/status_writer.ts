import type { StorePosition } from "@jasminetide/core/store";
import type { Logger } from "@jasminetide/runtime/logging";
import type { PlatformClient } from "@jasminetide/runtime/platform";
import { normalizeError } from "@jasminetide/core/results";

/** Services of a status writer and the name of its object. */
export type StatusWriterOptions = {
  platform: PlatformClient;
  logger: Logger;
  /** Name of the object of the kind `status`. */
  name: string;
};

/** Shortest time between two writes of one status. */
const minimumPeriodMs = 5000;

/** Writes a status to the platform when it changes, at a limited rate. */
export class StatusWriter {
  readonly #options: StatusWriterOptions;
  #lastValue = "";
  #position: StorePosition | undefined;
  #nextWriteAtMs = 0;
  #isWriting = false;

  private constructor(options: StatusWriterOptions) {
    this.#options = options;
  }

  /** Creates a writer that writes the first status it gets. */
  static create(options: StatusWriterOptions): StatusWriter {
    return new StatusWriter(options);
  }

  /**
   * Writes a status if it differs from the last one written, or the store was
   * restored from a copy since, none is being
   * written, and `minimumPeriodMs` has passed since the last write.
   */
  async write(status: unknown, nowMs: number): Promise<void> {
    const value = JSON.stringify(status);
    const isStored = value === this.#lastValue && this.#isOfCurrentEpoch;
    if (this.#isWriting || isStored || nowMs < this.#nextWriteAtMs) return;
    this.#isWriting = true;
    this.#nextWriteAtMs = nowMs + minimumPeriodMs;
    try {
      await this.#put(value);
      this.#lastValue = value;
    } catch (thrown) {
      this.#position = undefined;
      this.#options.logger.warn("status-write-failed", {
        code: normalizeError(thrown).code,
      });
    } finally {
      this.#isWriting = false;
    }
  }

  /** Whether the store was not restored since the last write. */
  get #isOfCurrentEpoch(): boolean {
    return this.#position?.epoch === this.#options.platform.epoch;
  }

  async #put(value: string): Promise<void> {
    const { name, platform } = this.#options;
    const object = { kind: "status", name };
    const position = this.#isOfCurrentEpoch
      ? this.#position
      : (await platform.get(object))?.position;
    const condition = position === undefined ? "absent" : { position };
    this.#position = await platform.put(object, { value, condition });
  }
}
