/** Ownership of resources that are released in reverse order. */

/** Releases all of its resources once, in reverse order. */
export class ResourceStack {
  readonly #releases: (() => unknown)[] = [];

  private constructor() {}

  /** Creates an empty stack. */
  static create(): ResourceStack {
    return new ResourceStack();
  }

  /** Takes ownership of a resource. */
  use<Resource extends AsyncDisposable | Disposable>(
    resource: Resource,
  ): Resource {
    this.#releases.push(() =>
      Symbol.asyncDispose in resource
        ? resource[Symbol.asyncDispose]()
        : resource[Symbol.dispose]()
    );
    return resource;
  }

  /** Adds an action to run when the stack is released. */
  defer(release: () => unknown): void {
    this.#releases.push(release);
  }

  /** Releases everything, then throws the first error, if any. */
  async [Symbol.asyncDispose](): Promise<void> {
    const errors: unknown[] = [];
    let release = this.#releases.pop();
    while (release !== undefined) {
      try {
        await release();
      } catch (error) {
        errors.push(error);
      }
      release = this.#releases.pop();
    }
    if (errors.length > 0) throw errors[0];
  }
}
