/** Tells requests in flight that the grace of a planned stop is over. */
export class GraceEnd {
  readonly #handlers = new Set<() => void>();

  private constructor() {}

  /** Creates the end of a grace that has not begun. */
  static create(): GraceEnd {
    return new GraceEnd();
  }

  /** Calls a handler at the end, unless the subscription is disposed of. */
  subscribe(handler: () => void): Disposable {
    this.#handlers.add(handler);
    return { [Symbol.dispose]: () => void this.#handlers.delete(handler) };
  }

  /** Calls the handlers. */
  reach(): void {
    for (const handler of [...this.#handlers]) handler();
  }
}
