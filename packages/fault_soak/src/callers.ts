import { randomBytes } from "node:crypto";
import { Agent, type IncomingMessage, request } from "node:http";
import { setTimeout } from "node:timers/promises";
import type { RandomSource } from "@jasminetide/core/random";
import { parseAddress } from "@jasminetide/runtime/settings";
import type { CallKind, CallOutcome, CallRecord } from "./history.ts";
import { callKinds } from "./history.ts";
import {
  callLimitsMs,
  formatPath,
  soakHost,
  soakKey,
} from "./soak_declaration.ts";
import type { SoakFleet, SoakGateway } from "./soak_fleet.ts";
import type { SoakWire } from "./wire.ts";

/** What callers work with. */
export type CallersOptions = {
  fleet: SoakFleet;
  wire: SoakWire;
  random: RandomSource;
  calls: CallRecord[];
};

const callPeriodMs = 12;

/** One call in so many is given up by its caller. */
const leavesOneIn = 12;
const leavesAfterMs = { smallest: 5, range: 250 };

/** Time beyond the limit of a request that a caller waits. */
const patienceMs = 3000;

/** Callers that keep their connections to every gateway open. */
export class Callers {
  readonly #options: CallersOptions;
  readonly #agents: Agent[];
  readonly #open = new Set<Promise<void>>();
  #isStopped = false;
  #loop: Promise<void>;

  private constructor(options: CallersOptions) {
    this.#options = options;
    this.#agents = options.fleet.gateways.map(() =>
      new Agent({ keepAlive: true })
    );
    this.#loop = this.#run();
  }

  /** Starts to call. */
  static create(options: CallersOptions): Callers {
    return new Callers(options);
  }

  /** Makes one call of each kind at every gateway, and waits for the ends. */
  async callAll(): Promise<CallRecord[]> {
    const { fleet } = this.#options;
    return await Promise.all(
      fleet.gateways.flatMap((gateway) =>
        callKinds.map((kind) => this.#call(gateway, kind))
      ),
    );
  }

  /** Makes no more calls, and waits for the open ones. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#loop;
    await Promise.all(this.#open);
  }

  [Symbol.dispose](): void {
    this.#isStopped = true;
    for (const agent of this.#agents) agent.destroy();
  }

  async #run(): Promise<void> {
    const { fleet, random } = this.#options;
    while (!this.#isStopped) {
      const gateway = fleet.gateways[random.getInteger(fleet.gateways.length)];
      const kind = callKinds[random.getInteger(callKinds.length)];
      const leaves = random.getInteger(leavesOneIn) === 0;
      const leaveAfterMs = leaves
        ? leavesAfterMs.smallest + random.getInteger(leavesAfterMs.range)
        : undefined;
      const call: Promise<void> = this.#call(gateway, kind, leaveAfterMs)
        .then(() => void this.#open.delete(call));
      this.#open.add(call);
      await setTimeout(callPeriodMs);
    }
  }

  async #call(
    gateway: SoakGateway,
    kind: CallKind,
    leaveAfterMs?: number,
  ): Promise<CallRecord> {
    const { calls, fleet, wire } = this.#options;
    const attemptId = randomBytes(8).toString("hex");
    const limitMs = callLimitsMs[kind];
    const { version } = fleet;
    const sentAtMs = Date.now();
    const { index, life } = gateway;
    const outcome = await exchange({
      address: gateway.callerLink.address,
      agent: this.#agents[index],
      path: formatPath(kind, version),
      headers: wire.formatCallerHeaders({
        attemptId,
        timeoutMs: limitMs,
        apiKey: soakKey,
      }),
      patienceMs: limitMs + patienceMs,
      leaveAfterMs,
    });
    const record = {
      attemptId,
      kind,
      gateway: index,
      gatewayLife: life,
      sentAtMs,
      limitMs,
      version,
      endedAtMs: Date.now(),
      outcome,
    };
    calls.push(record);
    return record;
  }
}

type Exchange = {
  address: string;
  agent: Agent;
  path: string;
  headers: Record<string, string>;
  patienceMs: number;
  leaveAfterMs: number | undefined;
};

function exchange(options: Exchange): Promise<CallOutcome> {
  const { address, agent, headers, leaveAfterMs, path, patienceMs } = options;
  const { ip, port } = parseAddress(address);
  return new Promise((resolve) => {
    const sent = request({
      host: ip,
      port,
      path,
      method: "POST",
      agent,
      headers: { ...headers, Host: soakHost },
    });
    const end = (outcome: CallOutcome) => {
      for (const timer of timers) clearTimeout(timer);
      resolve(outcome);
    };
    const leave = (outcome: CallOutcome) => () => {
      end(outcome);
      sent.destroy();
    };
    const timers = [
      globalThis.setTimeout(leave({ type: "silent" }), patienceMs),
      ...(leaveAfterMs === undefined
        ? []
        : [globalThis.setTimeout(leave({ type: "left" }), leaveAfterMs)]),
    ];
    sent.on("error", ({ message }) => end({ type: "failed", reason: message }));
    sent.on("response", (response) => readAnswer(response, end));
    sent.end("{}");
  });
}

function readAnswer(
  response: IncomingMessage,
  end: (outcome: CallOutcome) => void,
): void {
  let body = "";
  const finish = (isWhole: boolean) => () =>
    end({
      type: "answered",
      status: response.statusCode ?? 0,
      body,
      isWhole,
    });
  response.on("data", (bytes) => body += String(bytes));
  response.on("end", finish(true));
  response.on("error", finish(false));
  response.on("aborted", finish(false));
}
