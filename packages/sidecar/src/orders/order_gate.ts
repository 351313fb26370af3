import {
  type Duty,
  type FencedOrder,
  FencedOrders,
  type RunnerOrder,
} from "@jasminetide/core/leases";
import { AppError, normalizeError } from "@jasminetide/core/results";
import type { OrderOutcome } from "@jasminetide/runtime/control";
import { fetchFencingNumber } from "@jasminetide/runtime/leases";
import type { Logger } from "@jasminetide/runtime/logging";
import type { PlatformClient } from "@jasminetide/runtime/platform";
import type { Dispatcher } from "undici";
import { z } from "zod";

/** Dependencies of an order gate. */
export type OrderGateOptions = {
  /** Duty whose lease holder may send orders to this runner. */
  duty: Duty;
  platform: PlatformClient;
  runner: Dispatcher;
  logger: Logger;
};

const runnerStateSchema = z.object({
  highestFencingNumber: z.number().int().nonnegative(),
});

/**
 * Forwards orders to the runner, except those whose fencing number is lower than
 * the highest one seen.
 */
export class OrderGate {
  readonly #options: OrderGateOptions;
  readonly #orders: FencedOrders;
  readonly #restores: Disposable;

  private constructor(options: OrderGateOptions) {
    this.#options = options;
    this.#orders = FencedOrders.create({
      fetchHighest: () => this.#loadFencingNumber(),
    });
    this.#restores = options.platform.subscribeRestored(({ epoch }) =>
      this.#orders.observeStoreEpoch(epoch)
    );
  }

  /** Creates a gate; the first order loads the highest fencing number. */
  static create(options: OrderGateOptions): OrderGate {
    return new OrderGate(options);
  }

  /** Highest fencing number seen, 0 before the first. */
  get highestFencingNumber(): number {
    return this.#orders.highest;
  }

  /** Forwards an order and returns whether it was done or why it was refused. */
  async apply(request: FencedOrder): Promise<OrderOutcome> {
    const { fencingNumber, order } = request;
    try {
      this.#checkDuty(request.duty);
      await this.#orders.run(
        fencingNumber,
        () => this.#send(order, fencingNumber),
      );
      return { type: "done" };
    } catch (thrown) {
      const error = normalizeError(thrown);
      this.#options.logger.warn("order-refused", {
        code: error.code,
        order: order.type,
        fencingNumber,
      });
      return {
        type: "refused",
        code: error.code,
        executed: error.executed,
        detail: error.message,
      };
    }
  }

  [Symbol.dispose](): void {
    this.#restores[Symbol.dispose]();
  }

  #checkDuty(duty: Duty): void {
    if (duty === this.#options.duty) return;
    throw AppError.create(
      "invalidMessage",
      `Orders require the duty "${this.#options.duty}", not "${duty}"`,
    );
  }

  /** Loads the number from the platform or, if that fails, from the runner. */
  async #loadFencingNumber(): Promise<number> {
    const { duty, platform } = this.#options;
    try {
      return await fetchFencingNumber(platform, duty);
    } catch (cause) {
      const fencingNumber = await this.#readRunnerFencingNumber();
      if (fencingNumber !== undefined) return fencingNumber;
      throw AppError.create(
        "platformUnavailable",
        "The highest fencing number could not be loaded",
        { executed: "no", cause },
      );
    }
  }

  async #readRunnerFencingNumber(): Promise<number | undefined> {
    try {
      const answer = await this.#options.runner.request({
        method: "GET",
        path: "/state",
      });
      const state = runnerStateSchema.safeParse(await answer.body.json());
      return state.data?.highestFencingNumber;
    } catch {
      return undefined;
    }
  }

  async #send(order: RunnerOrder, fencingNumber: number): Promise<void> {
    const answer = await this.#options.runner.request({
      method: "POST",
      path: "/orders",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ ...order, fencingNumber }),
    });
    const text = await answer.body.text();
    if (answer.statusCode < 300) return;
    throw AppError.create(
      "runnerRefused",
      `Runner answered ${answer.statusCode} to ${order.type}: ${text}`,
    );
  }
}
