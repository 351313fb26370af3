/** Ownership of resources that are released in reverse order. */

/** Releases what it owns in reverse order, each once, all of them. */
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

  /** Adds an action to run at release. */
  defer(release: () => unknown): void {
    this.#releases.push(release);
  }

  /** Releases everything; the first error is thrown after the last release. */
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
