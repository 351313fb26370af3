import { randomUUID } from "node:crypto";
import {
  addDuty,
  applyHolderAlive,
  applyLeaseFailure,
  applyLeaseRead,
  applyLeaseWritten,
  applyStoreEpoch,
  createLeaseTables,
  type Duty,
  formatLease,
  isHeld,
  type LeaseCandidate,
  type LeaseCommand,
  type LeaseHolder,
  type LeaseTables,
  parseLease,
  updateLeases,
} from "@jasminetide/core/leases";
import { assertNever } from "@jasminetide/core/results";
import { normalizeError } from "@jasminetide/core/results";
import { decodePosition, encodePosition } from "@jasminetide/core/store";
import type { TimerService } from "@jasminetide/core/timers";
import type { PeerClient } from "../control/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { PlatformClient } from "../platform/mod.ts";
import { getLeaseObject } from "./fetch_fencing_number.ts";

/** Duties to hold and the services that a lease manager uses. */
export type LeaseManagerOptions = {
  self: LeaseHolder;
  duties: readonly Duty[];
  platform: PlatformClient;
  timers: TimerService;
  logger: Logger;
  getPeer: (controlAddress: string) => PeerClient;
  /** Lists the routers that are alive and not leaving. */
  listCandidates: () => LeaseCandidate[];
};

const tickPeriodMs = 500;

/** Time without a confirmation by the holder after which it is replaced. */
const leaseMs = 10_000;

/** Acquires, checks and releases leases of duties on behalf of one router. */
export class LeaseManager {
  readonly #options: LeaseManagerOptions;
  readonly #tables: LeaseTables;
  readonly #ticks: Disposable;
  readonly #restores: Disposable;
  #isLeaving = false;

  private constructor(options: LeaseManagerOptions) {
    this.#options = options;
    this.#tables = createLeaseTables({ self: options.self, leaseMs });
    for (const duty of options.duties) addDuty(this.#tables, duty);
    this.#ticks = options.timers.subscribe(tickPeriodMs, () => this.#tick());
    this.#restores = options.platform.subscribeRestored(({ epoch }) =>
      applyStoreEpoch(this.#tables, epoch)
    );
  }

  /** Starts to check the leases of the duties periodically. */
  static create(options: LeaseManagerOptions): LeaseManager {
    return new LeaseManager(options);
  }

  /** Checks whether this process may currently act on a duty. */
  isHeld(duty: Duty): boolean {
    return isHeld(this.#tables, duty, this.#options.timers.nowMs());
  }

  /** Gets the fencing number for orders under a duty, if it is held. */
  getFencingNumber(duty: Duty): number | undefined {
    if (!this.isHeld(duty)) return undefined;
    return this.#tables.duties.get(duty)?.lease?.fencingNumber;
  }

  /** Releases every duty; another router acquires each within seconds. */
  async release(): Promise<void> {
    this.#isLeaving = true;
    await this.#run();
  }

  /** Gets the state of each duty for the dump of the process. */
  getSnapshot() {
    return [...this.#tables.duties.rows()].map((row) => ({
      duty: row.duty,
      holder: row.lease?.holder?.name,
      fencingNumber: row.lease?.fencingNumber ?? 0,
      isHeld: this.isHeld(row.duty),
    }));
  }

  [Symbol.dispose](): void {
    this.#ticks[Symbol.dispose]();
    this.#restores[Symbol.dispose]();
  }

  #tick(): void {
    void this.#run();
  }

  async #run(): Promise<void> {
    const { listCandidates, platform, timers } = this.#options;
    applyStoreEpoch(this.#tables, platform.epoch);
    const commands = updateLeases(this.#tables, {
      nowMs: timers.nowMs(),
      candidates: listCandidates(),
      isLeaving: this.#isLeaving,
      createAttempt: randomUUID,
    });
    await Promise.all(commands.map((command) => this.#execute(command)));
  }

  async #execute(command: LeaseCommand): Promise<void> {
    try {
      switch (command.type) {
        case "read-lease":
          return await this.#read(command);
        case "write-lease":
          return await this.#write(command);
        case "ping-holder":
          return await this.#ping(command);
        default:
          return assertNever(command);
      }
    } catch (thrown) {
      const error = normalizeError(thrown);
      const { logger, timers } = this.#options;
      applyLeaseFailure(this.#tables, command.duty, timers.nowMs());
      logger.warn("lease-step-failed", {
        step: command.type,
        duty: command.duty,
        code: error.code,
      });
    }
  }

  async #read({ duty }: { duty: Duty }): Promise<void> {
    const { platform, timers } = this.#options;
    const stored = await platform.get(getLeaseObject(duty));
    applyLeaseRead(this.#tables, duty, {
      stored: stored === undefined ? undefined : {
        lease: parseLease(stored.value),
        version: encodePosition(stored.position),
      },
      nowMs: timers.nowMs(),
    });
  }

  async #write(
    command: Extract<LeaseCommand, { type: "write-lease" }>,
  ): Promise<void> {
    const { logger, platform, timers } = this.#options;
    const { duty, expectedVersion, lease } = command;
    const expected = decodePosition(expectedVersion);
    const position = await platform.put(getLeaseObject(duty), {
      value: formatLease(lease),
      condition: expected.revision === 0 ? "absent" : { position: expected },
    });
    applyLeaseWritten(this.#tables, duty, {
      version: encodePosition(position),
      nowMs: timers.nowMs(),
    });
    logger.info("lease-written", {
      duty,
      holder: lease.holder?.name,
      fencingNumber: lease.fencingNumber,
    });
  }

  async #ping(
    command: Extract<LeaseCommand, { type: "ping-holder" }>,
  ): Promise<void> {
    const { getPeer, timers } = this.#options;
    const { duty, holder } = command;
    const isHolder = await getPeer(holder.controlAddress).isDutyHeld.query({
      duty,
      epoch: holder.epoch,
    });
    if (isHolder) applyHolderAlive(this.#tables, duty, timers.nowMs());
    else applyLeaseFailure(this.#tables, duty, timers.nowMs());
  }
}
