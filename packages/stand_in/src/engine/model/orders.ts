import { AppError } from "@jasminetide/core/results";
import { z } from "zod";
import type { WeightStore } from "./weight_store.ts";

/** Share of the work that an engine takes on. */
export const engineRoleSchema = z.enum(["mixed", "prefill", "decode"]);

/** Share of the work that an engine takes on. */
export type EngineRole = z.output<typeof engineRoleSchema>;

const fencingNumber = z.number().int().nonnegative();

/** Schema of an order to an engine. */
export const engineOrderSchema = z.discriminatedUnion("type", [
  z.strictObject({
    type: z.literal("load-model"),
    fencingNumber,
    model: z.string().min(1),
    version: z.string().min(1),
  }),
  z.strictObject({
    type: z.literal("load-adapter"),
    fencingNumber,
    model: z.string().min(1),
    adapter: z.string().min(1),
  }),
  z.strictObject({
    type: z.literal("unload-model"),
    fencingNumber,
    model: z.string().min(1),
  }),
  z.strictObject({
    type: z.literal("set-role"),
    fencingNumber,
    role: engineRoleSchema,
  }),
]);

/** An order with the fencing number of the lease behind it. */
export type EngineOrder = z.output<typeof engineOrderSchema>;

/** A model that an engine has loaded or is loading. */
export type LoadedModel = {
  version: string;
  adapters: string[];
  readyAtMs: number;
};

/** What orders work with. */
export type OrderDeskOptions = {
  models: string[];
  checksFencing: boolean;
  modelBytes: number;
  weights?: WeightStore | undefined;
};

/** Share of a model's weights that an adapter has. */
const adapterSizeRatio = 0.01;

/** Carries out orders: models, adapters, versions and the role. */
export class OrderDesk {
  readonly #options: OrderDeskOptions;
  readonly #models = new Map<string, LoadedModel>();
  #role: EngineRole = "mixed";
  #highestFencingNumber = 0;

  private constructor(options: OrderDeskOptions) {
    this.#options = options;
    for (const model of options.models) {
      this.#models.set(model, { version: "1", adapters: [], readyAtMs: 0 });
    }
  }

  /** Creates a desk with models that are ready from the start. */
  static create(options: OrderDeskOptions): OrderDesk {
    return new OrderDesk(options);
  }

  get role(): EngineRole {
    return this.#role;
  }

  /** Highest fencing number of an order carried out. */
  get highestFencingNumber(): number {
    return this.#highestFencingNumber;
  }

  /** Models by name. */
  get models(): ReadonlyMap<string, LoadedModel> {
    return this.#models;
  }

  /**
   * Carries out an order.
   *
   * @returns the time at which it is complete.
   * @throws AppError `staleFencingNumber` where the engine checks it, and
   * `unknownModel` for an adapter of a model that is not loaded.
   */
  apply(order: EngineOrder, nowMs: number): number {
    this.#checkFencing(order);
    const doneAtMs = this.#carryOut(order, nowMs);
    this.#highestFencingNumber = Math.max(
      this.#highestFencingNumber,
      order.fencingNumber,
    );
    return doneAtMs;
  }

  /** Gets a model that is ready, or throws `unknownModel`. */
  require(
    model: string,
    options: { adapter?: string | undefined; nowMs: number },
  ): LoadedModel {
    const loaded = this.#models.get(model);
    const { adapter, nowMs } = options;
    const hasAdapter = adapter === undefined ||
      loaded?.adapters.includes(adapter) === true;
    if (loaded !== undefined && hasAdapter && loaded.readyAtMs <= nowMs) {
      return loaded;
    }
    throw AppError.create("unknownModel", `Model "${model}" is not loaded`);
  }

  #checkFencing(order: EngineOrder): void {
    if (!this.#options.checksFencing) return;
    if (order.fencingNumber >= this.#highestFencingNumber) return;
    throw AppError.create(
      "staleFencingNumber",
      `Order has ${order.fencingNumber}, expected at least ` +
        `${this.#highestFencingNumber}`,
    );
  }

  #carryOut(order: EngineOrder, nowMs: number): number {
    switch (order.type) {
      case "load-model": {
        const readyAtMs = this.#fetch(this.#options.modelBytes, nowMs);
        const { model, version } = order;
        this.#models.set(model, { version, adapters: [], readyAtMs });
        return readyAtMs;
      }
      case "load-adapter": {
        const model = this.require(order.model, { nowMs });
        const bytes = this.#options.modelBytes * adapterSizeRatio;
        const readyAtMs = this.#fetch(bytes, nowMs);
        model.adapters.push(order.adapter);
        return readyAtMs;
      }
      case "unload-model":
        this.#models.delete(order.model);
        return nowMs;
      case "set-role":
        this.#role = order.role;
        return nowMs;
    }
  }

  #fetch(bytes: number, nowMs: number): number {
    return this.#options.weights?.begin(bytes, nowMs) ?? nowMs;
  }
}
