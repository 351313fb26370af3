/** Callers that send requests of every kind and record their outcomes. */
import { randomBytes } from "node:crypto";
import { Agent } from "node:http";
import { setTimeout } from "node:timers/promises";
import type { RandomSource } from "@jasminetide/core/random";
import type { PromptPart } from "@jasminetide/gateway";
import { sendRequest } from "./caller_exchange.ts";
import type { SoakGateway } from "./fleet_gateway.ts";
import {
  type CallKind,
  callKinds,
  type CallRecord,
  type SoakTakeUp,
} from "./history.ts";
import { countEvents, listVersions } from "./software_versions.ts";
import { drawCrashingPrompt, drawPrompt } from "./prompts.ts";
import {
  callLimitsMs,
  crashPath,
  formatPath,
  soakKey,
} from "./soak_declaration.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { SoakWire } from "./wire.ts";

/** Options of the callers. */
export type CallersOptions = {
  fleet: SoakFleet;
  wire: SoakWire;
  random: RandomSource;
  calls: CallRecord[];
};

const callPeriodMs = 12;

/** One call in this many is abandoned: its caller disconnects. */
const disconnectOneIn = 12;
const disconnectDelaysMs = { smallest: 5, range: 250 };

/** Callers of a rush, and the time within which they connect. */
const rushCallers = 400;
const rushSpreadMs = 300;

/** Times that a caller takes a stream up, and the time until it does. */
const maxTakeUps = 3;
const takeUpSpreadMs = 600;

/** Time between two requests that crash runners. */
const crashingPeriodMs = 400;

/** Kinds of requests that have prompts. */
const streamKinds = ["story", "summary"] as const;

/** Kinds of the request that crashes runners as a whole. */
const crashingKinds = ["lookup", "payout", "story"] as const;

const maxCrashNumber = 1_000_000;

/** How a call differs from the usual one. */
type CallVariation = {
  /** Connections to use; those kept open to the gateway if absent. */
  agent?: Agent;
  disconnectAfterMs?: number;
  /** Body of a request that crashes runners, the same whenever it is sent. */
  body?: string;
  prompt?: readonly PromptPart[];
  /** Stream to take up. */
  takeUp?: SoakTakeUp;
};

/** Time that a caller waits beyond the limit of its request. */
const extraWaitMs = 3000;

/** Callers that hold keep-alive connections to every gateway. */
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

  /** Starts calling. */
  static create(options: CallersOptions): Callers {
    return new Callers(options);
  }

  /** Makes one call of each kind at every gateway and waits for all to end. */
  async callAll(): Promise<CallRecord[]> {
    const { fleet } = this.#options;
    return await Promise.all(
      fleet.gateways.flatMap((gateway) =>
        callKinds.map((kind) => this.#call(gateway, kind))
      ),
    );
  }

  /**
   * Sends requests with a part of their prompts that crashes runners, and waits
   * until all have ended.
   */
  async sendCrashingPrompts(durationMs: number): Promise<void> {
    const { random } = this.#options;
    await this.#sendForTime(durationMs, () => ({
      kind: streamKinds[random.getInteger(streamKinds.length)],
      prompt: drawCrashingPrompt(random),
    }));
  }

  /**
   * Sends one request that crashes runners again and again, and waits until all
   * have ended.
   */
  async sendCrashingRequest(durationMs: number): Promise<void> {
    const { random } = this.#options;
    const kind = crashingKinds[random.getInteger(crashingKinds.length)];
    const body = `{"crash":${random.getInteger(maxCrashNumber)}}`;
    await this.#sendForTime(durationMs, () => ({ kind, body }));
  }

  /**
   * Lets callers with new connections call a gateway at about the same time,
   * and leave soon. Waits until all have left.
   */
  async rush(gateway: SoakGateway): Promise<void> {
    const { random } = this.#options;
    const agent = new Agent();
    await Promise.all(Array.from({ length: rushCallers }, async () => {
      await setTimeout(random.getInteger(rushSpreadMs));
      await this.#call(gateway, "lookup", {
        agent,
        disconnectAfterMs: this.#drawDisconnectMs(),
      });
    }));
  }

  /** Makes a call on a new connection and waits for its end. */
  async callOnNewConnection(gateway: SoakGateway): Promise<void> {
    await this.#call(gateway, "lookup", { agent: new Agent() });
  }

  /** Makes a call at a random gateway every so often. */
  async #sendForTime(
    durationMs: number,
    draw: () => CallVariation & { kind: CallKind },
  ): Promise<void> {
    const { fleet, random } = this.#options;
    const endMs = Date.now() + durationMs;
    const sent: Promise<CallRecord>[] = [];
    while (Date.now() < endMs) {
      const gateway = fleet.gateways[random.getInteger(fleet.gateways.length)];
      const { kind, ...variation } = draw();
      sent.push(this.#call(gateway, kind, variation));
      await setTimeout(crashingPeriodMs);
    }
    await Promise.all(sent);
  }

  /** Stops calling and waits for the open calls. */
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
      const disconnects = random.getInteger(disconnectOneIn) === 0;
      const disconnectAfterMs = disconnects
        ? this.#drawDisconnectMs()
        : undefined;
      const call: Promise<void> = this.#call(gateway, kind, {
        disconnectAfterMs,
      })
        .then((record) => this.#takeUp(record))
        .then(() => void this.#open.delete(call));
      this.#open.add(call);
      await setTimeout(callPeriodMs);
    }
  }

  /** Takes a stream up at any gateway, as often as it breaks off. */
  async #takeUp(broken: CallRecord): Promise<void> {
    const { fleet, random } = this.#options;
    let takeUp = createTakeUp(broken);
    for (let attempt = 0; attempt < maxTakeUps; attempt++) {
      if (takeUp === undefined) return;
      await setTimeout(random.getInteger(takeUpSpreadMs));
      const gateway = fleet.gateways[random.getInteger(fleet.gateways.length)];
      const record = await this.#call(gateway, broken.kind, { takeUp });
      if (!isRefused(record)) takeUp = createTakeUp(record);
    }
  }

  #drawDisconnectMs(): number {
    return disconnectDelaysMs.smallest +
      this.#options.random.getInteger(disconnectDelaysMs.range);
  }

  #drawPrompt(kind: CallKind): PromptPart[] {
    const isStream = streamKinds.some((known) => known === kind);
    return isStream ? drawPrompt(this.#options.random) : [];
  }

  async #call(
    gateway: SoakGateway,
    kind: CallKind,
    variation: CallVariation = {},
  ): Promise<CallRecord> {
    const { calls, fleet, wire } = this.#options;
    const { body, disconnectAfterMs } = variation;
    const prompt = variation.prompt ?? this.#drawPrompt(kind);
    const attemptId = randomBytes(8).toString("hex");
    const limitMs = callLimitsMs[kind];
    const { version } = fleet;
    const sentAtMs = Date.now();
    const { index, incarnation } = gateway;
    let connectedAtMs: number | undefined;
    const outcome = await sendRequest({
      address: gateway.callerLink.address,
      agent: variation.agent ?? this.#agents[index],
      path: formatPath(kind, version) + (body === undefined ? "" : crashPath),
      body: body ?? `{"id":"${attemptId}"}`,
      headers: wire.formatCallerHeaders({
        attemptId,
        timeoutMs: limitMs,
        apiKey: soakKey,
        prompt,
        takeUp: variation.takeUp,
      }),
      waitMs: limitMs + extraWaitMs,
      disconnectAfterMs,
      onConnection: (openedAtMs) => connectedAtMs = openedAtMs,
    });
    const record = {
      attemptId,
      kind,
      gateway: index,
      gatewayIncarnation: incarnation,
      sentAtMs,
      connectedAtMs,
      limitMs,
      version,
      endedAtMs: Date.now(),
      partIds: prompt.map(({ id }) => id),
      crashes: body !== undefined,
      takeUp: variation.takeUp,
      outcome,
    };
    calls.push(record);
    return record;
  }
}

function isRefused({ outcome }: CallRecord): boolean {
  return outcome.type === "answered" && outcome.status !== 200;
}

/** Decides from where a caller takes up a stream; undefined if it does not. */
function createTakeUp(
  { attemptId, kind, outcome, takeUp }: CallRecord,
): SoakTakeUp | undefined {
  if (kind !== "story" || outcome.type !== "answered" || outcome.isComplete) {
    return undefined;
  }
  const events = outcome.status === 200 ? countEvents(outcome.body) : 0;
  if (takeUp === undefined && events === 0) return undefined;
  return {
    afterEvent: (takeUp?.afterEvent ?? 0) + events,
    firstAttemptId: takeUp?.firstAttemptId ?? attemptId,
    softwareVersions: [
      ...takeUp?.softwareVersions ?? [],
      ...listVersions(outcome.body),
    ],
  };
}
