import {
  type AcceptedConfiguration,
  hashText,
} from "@jasminetide/core/configuration";
import { AppError, assertInvariant } from "@jasminetide/core/results";

/** Called with each configuration that comes into force. */
export type ConfigurationListener = (accepted: AcceptedConfiguration) => void;

/** Holds the configuration in force in one process; it never goes back. */
export class ConfigurationHolder {
  #current: AcceptedConfiguration | undefined;
  readonly #listeners = new Set<ConfigurationListener>();

  private constructor() {}

  /** Creates a holder with no configuration. */
  static create(): ConfigurationHolder {
    return new ConfigurationHolder();
  }

  /** Version in force, 0 before the first. */
  get version(): number {
    return this.#current?.version ?? 0;
  }

  /** Whether a configuration is in force. */
  get isLoaded(): boolean {
    return this.#current !== undefined;
  }

  /**
   * Gets the configuration in force.
   *
   * @throws AppError `platformUnavailable` before the first one arrived.
   */
  get(): AcceptedConfiguration {
    if (this.#current !== undefined) return this.#current;
    throw AppError.create(
      "platformUnavailable",
      "No configuration has been loaded yet",
      { executed: "no" },
    );
  }

  /** Calls the listener at once when loaded, and at each change. */
  subscribe(listener: ConfigurationListener): Disposable {
    this.#listeners.add(listener);
    if (this.#current !== undefined) listener(this.#current);
    return { [Symbol.dispose]: () => void this.#listeners.delete(listener) };
  }

  /**
   * Applies a configuration if it is newer than the one in force.
   *
   * @returns whether it came into force.
   * @throws AppError `hashMismatch` when the body is not the accepted one.
   */
  apply(accepted: AcceptedConfiguration): boolean {
    if (accepted.version <= this.version) {
      this.#checkSameBody(accepted);
      return false;
    }
    if (hashText(accepted.text) !== accepted.hash) {
      throw AppError.create(
        "hashMismatch",
        `Body of configuration ${accepted.version} does not match its hash`,
      );
    }
    const before = this.version;
    this.#current = accepted;
    assertInvariant(
      this.version > before,
      "configuration-never-reverts",
      () => `went from ${before} to ${this.version}`,
    );
    for (const listener of this.#listeners) listener(accepted);
    return true;
  }

  #checkSameBody(accepted: AcceptedConfiguration): void {
    const current = this.#current;
    assertInvariant(
      accepted.version !== current?.version || accepted.hash === current.hash,
      "one-body-per-version",
      () => `version ${accepted.version} came with another hash`,
    );
  }
}
