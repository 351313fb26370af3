import { AppError } from "@jasminetide/core/results";
import { z } from "zod";
import type { WeightStore } from "./weight_store.ts";

/** Schema of the role of an engine: prefill, decoding or both. */
export const engineRoleSchema = z.enum(["mixed", "prefill", "decode"]);

/** Role of an engine: prefill, decoding or both. */
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

/** An order with the fencing number of the lease under which it is given. */
export type EngineOrder = z.output<typeof engineOrderSchema>;

/** A model that an engine has loaded or is loading. */
export type LoadedModel = {
  version: string;
  adapters: string[];
  readyAtMs: number;
};

/** Initial models of an engine, and how it loads models and checks orders. */
export type OrderExecutorOptions = {
  models: string[];
  checksFencing: boolean;
  modelBytes: number;
  weights?: WeightStore | undefined;
};

/** Size of an adapter relative to the weights of its model. */
const adapterSizeRatio = 0.01;

/** Executes orders that change the models, adapters and role of an engine. */
export class OrderExecutor {
  readonly #options: OrderExecutorOptions;
  readonly #models = new Map<string, LoadedModel>();
  #role: EngineRole = "mixed";
  #highestFencingNumber = 0;

  private constructor(options: OrderExecutorOptions) {
    this.#options = options;
    for (const model of options.models) {
      this.#models.set(model, { version: "1", adapters: [], readyAtMs: 0 });
    }
  }

  /** Creates an executor whose initial models are ready. */
  static create(options: OrderExecutorOptions): OrderExecutor {
    return new OrderExecutor(options);
  }

  get role(): EngineRole {
    return this.#role;
  }

  /** Highest fencing number of an executed order. */
  get highestFencingNumber(): number {
    return this.#highestFencingNumber;
  }

  /** Models by name. */
  get models(): ReadonlyMap<string, LoadedModel> {
    return this.#models;
  }

  /**
   * Executes an order.
   *
   * @returns the time at which it is complete.
   * @throws AppError `staleFencingNumber` if the engine checks fencing numbers,
   * or `unknownModel` for an adapter of a model that is not loaded.
   */
  apply(order: EngineOrder, nowMs: number): number {
    this.#checkFencing(order);
    const doneAtMs = this.#applyChange(order, nowMs);
    this.#highestFencingNumber = Math.max(
      this.#highestFencingNumber,
      order.fencingNumber,
    );
    return doneAtMs;
  }

  /**
   * Gets a model that is ready and has the adapter.
   *
   * @throws AppError `unknownModel`.
   */
  requireReady(
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
      `Order has fencing number ${order.fencingNumber}, expected at least ` +
        `${this.#highestFencingNumber}`,
    );
  }

  #applyChange(order: EngineOrder, nowMs: number): number {
    switch (order.type) {
      case "load-model": {
        const readyAtMs = this.#fetchWeights(this.#options.modelBytes, nowMs);
        const { model, version } = order;
        this.#models.set(model, { version, adapters: [], readyAtMs });
        return readyAtMs;
      }
      case "load-adapter": {
        const model = this.requireReady(order.model, { nowMs });
        const bytes = this.#options.modelBytes * adapterSizeRatio;
        const readyAtMs = this.#fetchWeights(bytes, nowMs);
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

  #fetchWeights(bytes: number, nowMs: number): number {
    return this.#options.weights?.beginTransfer(bytes, nowMs) ?? nowMs;
  }
}
