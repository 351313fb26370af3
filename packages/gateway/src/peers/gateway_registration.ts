import { normalizeError } from "@jasminetide/core/results";
import { type TimerService, wait } from "@jasminetide/core/timers";
import type { Logger } from "@jasminetide/runtime/logging";
import type { PeerRecord, PeerRegistry } from "./peer_registry.ts";

/** Options of a registration. */
export type GatewayRegistrationOptions = {
  /** Name of this gateway. */
  name: string;
  record: PeerRecord;
  registry: PeerRegistry;
  timers: TimerService;
  logger: Logger;
};

/** This gateway's entry in the list of gateways in the store. */
export class GatewayRegistration {
  readonly #options: GatewayRegistrationOptions;
  #writtenAtMs = Number.POSITIVE_INFINITY;
  #isWithdrawn = false;

  private constructor(options: GatewayRegistrationOptions) {
    this.#options = options;
  }

  /** Creates a registration and starts to write the entry. */
  static create(options: GatewayRegistrationOptions): GatewayRegistration {
    const registration = new GatewayRegistration(options);
    void registration.#write();
    return registration;
  }

  /**
   * Writes the entry again if a list lacks it, since a store that was restored
   * may have lost it. Lists may be some seconds old, so the entry is missing in
   * them for a while after it was written.
   */
  checkList(names: { has: (name: string) => boolean }): void {
    const { logger, name, timers } = this.#options;
    if (this.#isWithdrawn || names.has(name)) return;
    const ageMs = timers.nowMs() - this.#writtenAtMs;
    if (ageMs < maxListAgeMs) return;
    logger.warn("address-lost", { ageMs: Math.round(ageMs) });
    this.#writtenAtMs = Number.POSITIVE_INFINITY;
    void this.#write();
  }

  /** Removes the entry; it is not written again. */
  async withdraw(): Promise<void> {
    const { logger, name, registry } = this.#options;
    this.#isWithdrawn = true;
    try {
      await registry.withdraw(name);
    } catch (thrown) {
      logger.warn("withdraw-failed", {
        detail: normalizeError(thrown).message,
      });
    }
  }

  [Symbol.dispose](): void {
    this.#isWithdrawn = true;
  }

  /** Writes the entry; tries until it succeeds. */
  async #write(): Promise<void> {
    const { logger, name, record, registry, timers } = this.#options;
    while (!this.#isWithdrawn) {
      try {
        await registry.announce(name, record);
        this.#writtenAtMs = timers.nowMs();
        return;
      } catch (thrown) {
        logger.warn("announce-failed", {
          detail: normalizeError(thrown).message,
        });
        await wait(timers, retryPeriodMs);
      }
    }
  }
}

/** Time by which lists of gateways may be behind. */
const maxListAgeMs = 10_000;

/** Pause between attempts to write the entry. */
const retryPeriodMs = 1000;
