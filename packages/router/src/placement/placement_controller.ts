import type { Configuration } from "@jasminetide/core/configuration";
import { getPlacementDuty } from "@jasminetide/core/leases";
import type { MemberRow } from "@jasminetide/core/membership";
import {
  applyModelReport,
  createPlacementTables,
  decidePlacement,
  getPlacementStatus,
  type ModelSpec,
  type PlacementCommand,
  type PlacementRunner,
  type PlacementTables,
} from "@jasminetide/core/placement";
import { normalizeError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import type { ConfigurationHolder } from "@jasminetide/runtime/configuration";
import type { SidecarClient } from "@jasminetide/runtime/control";
import type { LeaseManager } from "@jasminetide/runtime/leases";
import type { Logger } from "@jasminetide/runtime/logging";
import type { Membership } from "@jasminetide/runtime/membership";
import type { PlatformClient } from "@jasminetide/runtime/platform";
import { StatusWriter } from "./status_writer.ts";

/** Services that the placement of models in a region uses. */
export type PlacementControllerOptions = {
  region: string;
  configuration: ConfigurationHolder;
  leases: LeaseManager;
  membership: Membership;
  platform: PlatformClient;
  timers: TimerService;
  logger: Logger;
  getSidecar: (controlAddress: string) => SidecarClient;
};

/** Time between two placement decisions. */
const tickPeriodMs = 2000;

/** Decides the placement of models while this router holds the lease for it. */
export class PlacementController {
  readonly #options: PlacementControllerOptions;
  readonly #status: StatusWriter;
  readonly #ticks: Disposable;
  #tables: PlacementTables | undefined;

  private constructor(options: PlacementControllerOptions) {
    const { logger, platform, region, timers } = options;
    this.#options = options;
    this.#status = StatusWriter.create({
      platform,
      logger,
      name: getPlacementDuty(region),
    });
    this.#ticks = timers.subscribe(tickPeriodMs, (nowMs) => this.#tick(nowMs));
  }

  /** Starts periodic decisions; ticks without the lease do nothing. */
  static create(options: PlacementControllerOptions): PlacementController {
    return new PlacementController(options);
  }

  [Symbol.dispose](): void {
    this.#ticks[Symbol.dispose]();
  }

  #tick(nowMs: number): void {
    const { configuration, leases, region } = this.#options;
    const duty = getPlacementDuty(region);
    const fencingNumber = leases.getFencingNumber(duty);
    if (fencingNumber === undefined || !configuration.isLoaded) {
      // The next lease holder builds its tables from what runners report.
      this.#tables = undefined;
      return;
    }
    const tables = this.#updateTables(configuration.get().body, nowMs);
    for (const command of decidePlacement(tables, nowMs)) {
      void this.#sendOrder(command, { duty, fencingNumber });
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

  /** @returns the id of the runner if it is a usable engine of the region. */
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
    const runnerState = tables.runners.get(runner.id) ??
      createRunner(runner.id, { failureDomain, nowMs });
    tables.runners.set(runner.id, runnerState);
    applyModelReport(runnerState, runner.engine.models);
    runnerState.role = runner.engine.role;
    runnerState.capacity = member.record.capacity;
    runnerState.loadTokens = member.record.loadTokens;
    runnerState.isUsable = row?.state === "active";
    return runnerState.isUsable ? runner.id : undefined;
  }

  async #sendOrder(
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
      // An unanswered order is sent again when it is overdue.
      const { code } = normalizeError(thrown);
      logger.warn("order-failed", { runner, order: order.type, code });
    }
  }
}

function listIntents(body: Configuration): ModelSpec[] {
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
    pendingLoad: undefined,
    replacedModel: undefined,
  };
}
