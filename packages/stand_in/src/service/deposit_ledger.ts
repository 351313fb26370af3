import type { IncomingMessage, ServerResponse } from "node:http";
import { AppError } from "@jasminetide/core/results";
import { readBody, sendJson, sendProblem } from "@jasminetide/runtime/http";
import { z } from "zod";
import {
  type ServiceFaults,
  serviceFaultsSchema,
  takeFault,
} from "./faults.ts";

const refundSchema = z.object({
  account: z.string().min(1),
  amount: z.number().positive(),
});

const maxBodyBytes = 65_536;

/** Resources whose calls move money. */
const moneyResources = new Set(["refunds", "deposits"]);

/** Resources whose calls only read. */
const lookupResources = new Set(["balances", "tickets"]);

/** State that the runners of one service share. */
export type DepositState = {
  balances: Map<string, number>;
  /** Number of refunds that took effect, by idempotency key. */
  effects: Map<string, number>;
  /** Number of refunds that took effect, including those without a key. */
  effectCount: number;
  faults: ServiceFaults;
  /** Number of next refunds that take effect but whose answer is lost. */
  lostAnswers: number;
};

/** Creates the initial state of a service. */
export function createDepositState(): DepositState {
  return {
    balances: new Map(),
    effects: new Map(),
    effectCount: 0,
    faults: serviceFaultsSchema.parse({}),
    lostAnswers: 0,
  };
}

/**
 * A plain service that moves money and does not deduplicate calls: each call
 * takes effect, whether or not its idempotency key was used before.
 */
export class DepositLedger {
  readonly #state: DepositState;
  readonly #service: string;

  private constructor(state: DepositState, service: string) {
    this.#state = state;
    this.#service = service;
  }

  /**
   * Creates a runner of a service on shared state. Under any service name it
   * accepts refunds and deposits, and serves balances and tickets.
   */
  static create(
    state: DepositState,
    service = "deposit-ledger",
  ): DepositLedger {
    return new DepositLedger(state, service);
  }

  /** Handles one HTTP request. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const path = request.url ?? "/";
      const [, service, resource, account] = path.split("/");
      const isOwnService = service === this.#service;
      if (
        isOwnService && request.method === "POST" &&
        moneyResources.has(resource)
      ) {
        await this.#refund(request, response);
      } else if (
        isOwnService && request.method === "GET" &&
        lookupResources.has(resource)
      ) {
        this.#sendBalance(account, response);
      } else if (request.method === "PUT" && path === "/faults") {
        await this.#setFaults(request, response);
      } else if (path === "/effects") this.#sendEffects(response);
      else throw AppError.create("notFound", `No path ${path}`);
    } catch (error) {
      sendProblem(response, error);
    }
  }

  async #refund(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request, maxBodyBytes);
    const result = refundSchema.safeParse(JSON.parse(body.toString("utf8")));
    if (!result.success) {
      throw AppError.create("invalidRequest", result.error.message);
    }
    const { faults } = this.#state;
    if (takeFault(faults, "hangsBeforeEffect")) return;
    if (takeFault(faults, "failuresBeforeEffect")) {
      request.socket.destroy();
      return;
    }
    const { account, amount } = result.data;
    this.#state.effectCount += 1;
    const key = request.headers["idempotency-key"];
    if (typeof key === "string") {
      this.#state.effects.set(key, (this.#state.effects.get(key) ?? 0) + 1);
    }
    const balance = (this.#state.balances.get(account) ?? 0) - amount;
    this.#state.balances.set(account, balance);
    if (takeFault(faults, "hangsAfterEffect")) return;
    if (this.#state.lostAnswers > 0) {
      this.#state.lostAnswers -= 1;
      request.socket.destroy();
      return;
    }
    if (takeFault(faults, "failuresAfterEffect")) {
      request.socket.destroy();
      return;
    }
    sendJson(response, { account, refunded: amount, balance }, { status: 201 });
  }

  async #setFaults(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request, maxBodyBytes);
    const result = serviceFaultsSchema.safeParse(
      JSON.parse(body.toString("utf8")),
    );
    if (!result.success) {
      throw AppError.create("invalidRequest", result.error.message);
    }
    Object.assign(this.#state.faults, result.data);
    sendJson(response, result.data);
  }

  #sendEffects(response: ServerResponse): void {
    const { effects, effectCount, faults } = this.#state;
    const byKey = Object.fromEntries(effects);
    sendJson(response, { count: effectCount, byKey, faults });
  }

  #sendBalance(account: string, response: ServerResponse): void {
    const balance = this.#state.balances.get(account) ?? 0;
    sendJson(response, { account, balance });
  }
}
