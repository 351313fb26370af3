import {
  type AcceptedConfiguration,
  hashText,
} from "@jasminetide/core/configuration";
import { AppError, assertInvariant } from "@jasminetide/core/results";

/** Called with each configuration that is applied. */
export type ConfigurationListener = (accepted: AcceptedConfiguration) => void;

/** Holds the current configuration of a process; versions never decrease. */
export class ConfigurationHolder {
  #current: AcceptedConfiguration | undefined;
  readonly #listeners = new Set<ConfigurationListener>();

  private constructor() {}

  /** Creates a holder without a configuration. */
  static create(): ConfigurationHolder {
    return new ConfigurationHolder();
  }

  /** Version of the current configuration; 0 before the first is applied. */
  get version(): number {
    return this.#current?.version ?? 0;
  }

  /** Whether a configuration has been applied. */
  get isLoaded(): boolean {
    return this.#current !== undefined;
  }

  /**
   * Gets the current configuration.
   *
   * @throws AppError `platformUnavailable` before the first one is applied.
   */
  get(): AcceptedConfiguration {
    if (this.#current !== undefined) return this.#current;
    throw AppError.create(
      "platformUnavailable",
      "No configuration has been loaded yet",
      { executed: "no" },
    );
  }

  /**
   * Calls the listener at each change, and immediately if a configuration is
   * loaded.
   */
  subscribe(listener: ConfigurationListener): Disposable {
    this.#listeners.add(listener);
    if (this.#current !== undefined) listener(this.#current);
    return { [Symbol.dispose]: () => void this.#listeners.delete(listener) };
  }

  /**
   * Applies a configuration if it is newer than the current one.
   *
   * @returns whether it was applied.
   * @throws AppError `hashMismatch` when the text does not match its hash.
   */
  apply(accepted: AcceptedConfiguration): boolean {
    if (accepted.version <= this.version) {
      this.#checkSameBody(accepted);
      return false;
    }
    if (hashText(accepted.text) !== accepted.hash) {
      throw AppError.create(
        "hashMismatch",
        `Text of configuration ${accepted.version} does not match its hash`,
      );
    }
    const before = this.version;
    this.#current = accepted;
    assertInvariant(
      this.version > before,
      "configuration-never-reverts",
      () => `version went from ${before} to ${this.version}`,
    );
    for (const listener of this.#listeners) listener(accepted);
    return true;
  }

  #checkSameBody(accepted: AcceptedConfiguration): void {
    const current = this.#current;
    assertInvariant(
      accepted.version !== current?.version || accepted.hash === current.hash,
      "one-body-per-version",
      () => `version ${accepted.version} was received with a different hash`,
    );
  }
}
