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

/** What orders work with. */
export type OrderGateOptions = {
  /** Duty whose holder gives orders to this runner. */
  duty: Duty;
  platform: PlatformClient;
  runner: Dispatcher;
  logger: Logger;
};

const runnerStateSchema = z.object({
  highestFencingNumber: z.number().int().nonnegative(),
});

/** Passes orders on to the runner. */
export class OrderGate {
  readonly #options: OrderGateOptions;
  readonly #orders: FencedOrders;

  private constructor(options: OrderGateOptions) {
    this.#options = options;
    this.#orders = FencedOrders.create({ fetchHighest: () => this.#learn() });
  }

  /** Creates a gate; the highest number is learned with the first order. */
  static create(options: OrderGateOptions): OrderGate {
    return new OrderGate(options);
  }

  /** Highest fencing number seen, 0 before any. */
  get highestFencingNumber(): number {
    return this.#orders.highest;
  }

  /** Carries out an order, or says why it was not. */
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

  #checkDuty(duty: Duty): void {
    if (duty === this.#options.duty) return;
    throw AppError.create(
      "invalidMessage",
      `Orders are taken under "${this.#options.duty}", not "${duty}"`,
    );
  }

  /** From the platform, else from a runner that tells it. */
  async #learn(): Promise<number> {
    const { duty, platform } = this.#options;
    try {
      return await fetchFencingNumber(platform, duty);
    } catch (cause) {
      const known = await this.#readRunner();
      if (known !== undefined) return known;
      throw AppError.create(
        "platformUnavailable",
        "The highest fencing number cannot be learned",
        { executed: "no", cause },
      );
    }
  }

  async #readRunner(): Promise<number | undefined> {
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
