/**
 * Measures how the delay of messages on one connection changes from that of the
 * first. The clocks of both ends only have to run at the same speed: a sender
 * that was suspended, or bytes that were held up, show as a longer delay.
 */
export class DelayChange {
  #firstMs: number | undefined;

  private constructor() {}

  /** Creates a measurement without messages. */
  static create(): DelayChange {
    return new DelayChange();
  }

  /**
   * Records a message and gets by how much longer it took than the first one;
   * negative if it took less.
   *
   * @param sentAtMs time on the sender's steady clock.
   * @param receivedAtMs time on this process's steady clock.
   */
  record(sentAtMs: number, receivedAtMs: number): number {
    const delayMs = receivedAtMs - sentAtMs;
    this.#firstMs ??= delayMs;
    return delayMs - this.#firstMs;
  }
}
