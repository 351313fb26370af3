import type { Configuration } from "@jasminetide/core/configuration";
import { getPlacementDuty } from "@jasminetide/core/leases";
import type { MemberRow } from "@jasminetide/core/membership";
import {
  createPlacementTables,
  decidePlacement,
  getPlacementStatus,
  type ModelIntent,
  type PlacementCommand,
  type PlacementRunner,
  type PlacementTables,
  updateReport,
} from "@jasminetide/core/placement";
import { normalizeError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import type { ConfigurationHolder } from "@jasminetide/runtime/configuration";
import type { SidecarClient } from "@jasminetide/runtime/control";
import type { LeaseKeeper } from "@jasminetide/runtime/leases";
import type { Logger } from "@jasminetide/runtime/logging";
import type { Membership } from "@jasminetide/runtime/membership";
import type { PlatformClient } from "@jasminetide/runtime/platform";
import { StatusWriter } from "./status_writer.ts";

/** What the placement of a region works with. */
export type PlacementKeeperOptions = {
  region: string;
  configuration: ConfigurationHolder;
  leases: LeaseKeeper;
  membership: Membership;
  platform: PlatformClient;
  timers: TimerService;
  logger: Logger;
  getSidecar: (controlAddress: string) => SidecarClient;
};

const tickPeriodMs = 2000;

/** Decides the placement while this router holds the duty. */
export class PlacementKeeper {
  readonly #options: PlacementKeeperOptions;
  readonly #status: StatusWriter;
  readonly #ticks: Disposable;
  #tables: PlacementTables | undefined;

  private constructor(options: PlacementKeeperOptions) {
    const { logger, platform, region, timers } = options;
    this.#options = options;
    this.#status = StatusWriter.create({
      platform,
      logger,
      name: getPlacementDuty(region),
    });
    this.#ticks = timers.subscribe(tickPeriodMs, (nowMs) => this.#tick(nowMs));
  }

  /** Starts to decide whenever the duty is held. */
  static create(options: PlacementKeeperOptions): PlacementKeeper {
    return new PlacementKeeper(options);
  }

  [Symbol.dispose](): void {
    this.#ticks[Symbol.dispose]();
  }

  #tick(nowMs: number): void {
    const { configuration, leases, region } = this.#options;
    const duty = getPlacementDuty(region);
    const fencingNumber = leases.getFencingNumber(duty);
    if (fencingNumber === undefined || !configuration.isLoaded) {
      // A later holder starts from what runners report then.
      this.#tables = undefined;
      return;
    }
    const tables = this.#updateTables(configuration.get().body, nowMs);
    for (const command of decidePlacement(tables, nowMs)) {
      void this.#order(command, { duty, fencingNumber });
    }
    void this.#status.write(getPlacementStatus(tables), nowMs);
  }

  #updateTables(body: Configuration, nowMs: number): PlacementTables {
    const limits = body.defaults.placement;
    const models = listIntents(body);
    const tables = this.#tables ??
      createPlacementTables({ models, limits, nowMs });
    tables.models = models;
    tables.limits = limits;
    this.#tables = tables;
    const seen = new Set<string>();
    for (const member of this.#options.membership.members.rows()) {
      const id = this.#updateRunner(tables, member, nowMs);
      if (id !== undefined) seen.add(id);
    }
    for (const [id, runner] of tables.runners) {
      if (!seen.has(id)) runner.isUsable = false;
    }
    return tables;
  }

  /** @returns the runner, if it is an engine of the region that can be used. */
  #updateRunner(
    tables: PlacementTables,
    member: MemberRow,
    nowMs: number,
  ): string | undefined {
    const { membership, region } = this.#options;
    const { failureDomain, runner } = member.identity;
    if (runner?.engine === undefined) return undefined;
    if (member.identity.region !== region) return undefined;
    const row = membership.runners.get(runner.id);
    const known = tables.runners.get(runner.id) ??
      createRunner(runner.id, { failureDomain, nowMs });
    tables.runners.set(runner.id, known);
    updateReport(known, runner.engine.models);
    known.role = runner.engine.role;
    known.capacity = member.record.capacity;
    known.loadTokens = member.record.loadTokens;
    known.isUsable = row?.state === "active";
    return known.isUsable ? runner.id : undefined;
  }

  async #order(
    command: PlacementCommand,
    lease: { duty: string; fencingNumber: number },
  ): Promise<void> {
    const { getSidecar, logger, membership } = this.#options;
    const { order, runner } = command;
    const row = membership.runners.get(runner);
    if (row === undefined) return;
    try {
      const outcome = await getSidecar(row.controlAddress)
        .order.mutate({ ...lease, order });
      logger.info("order-given", {
        runner,
        order: order.type,
        outcome: outcome.type,
        code: outcome.type === "refused" ? outcome.code : undefined,
      });
    } catch (thrown) {
      // An order without an answer is given again when it is overdue.
      const { code } = normalizeError(thrown);
      logger.warn("order-failed", { runner, order: order.type, code });
    }
  }
}

function listIntents(body: Configuration): ModelIntent[] {
  return body.models.map((model) => ({
    name: model.engineModel ?? model.name,
    version: model.version,
    adapters: model.adapters,
    minimumRunners: model.minimumRunners,
    weightBytes: model.weightBytes,
    prefillShare: model.prefillShare,
  }));
}

function createRunner(
  id: string,
  options: { failureDomain: string; nowMs: number },
): PlacementRunner {
  return {
    id,
    failureDomain: options.failureDomain,
    isUsable: true,
    capacity: 1,
    loadTokens: 0,
    models: [],
    role: "mixed",
    movedAtMs: options.nowMs,
    ordered: undefined,
    leavingModel: undefined,
  };
}
