import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { createSilentLogger, type Logger } from "@jasminetide/runtime/logging";
import { formatStreamEnd, formatStreamStart } from "./answer_scripts.ts";
import { loadQuarantine } from "./quarantine_state.ts";
import { isWhole, RawCaller } from "./raw_caller.ts";
import {
  type ReceivedRequest,
  type Script,
  ScriptedRunner,
} from "./scripted_runner.ts";
import {
  createDeclaration,
  createRunnerRecord,
  startTestGateway,
  type TestGateway,
} from "./test_gateway.ts";
import { testHeaders } from "./test_protocol.ts";

/** Part of a prompt that crashes each runner that begins to answer it. */
export const crashingPart = "bad";

/** Answer that a caller got, up to its end. */
export type FleetAnswer = {
  status: number;
  text: string;
  /** Whether it has its proper end. */
  isWhole: boolean;
};

/** Request to a fleet. */
export type FleetCall = {
  /**
   * Parts of its prompt but the last, which is added, such as "base,tool"; it
   * has no prompt if absent.
   */
  prompt?: string;
  /** Path of a test route; one for streams that resume if absent. */
  path?: string;
  /** Its body; differs from any other if absent. */
  body?: string;
};

/** Answers a request at a runner of a fleet. */
export type FleetScript = (
  request: ReceivedRequest,
  runner: ScriptedRunner,
) => void;

/** Size of a fleet. */
export type CrashingFleetOptions = {
  gatewayCount: number;
  runnerCount: number;
  logger?: Logger;
};

const timers = RealTimerService.create();

/**
 * Several gateways that know each other, and runners that crash when they begin
 * to answer a prompt with a certain part. A new runner replaces each of those.
 */
export class CrashingFleet {
  readonly gateways: TestGateway[] = [];
  /** All runners so far, including those that have crashed. */
  readonly runners: ScriptedRunner[] = [];
  /** Answers prompts without the part; answers whole streams if not set. */
  soundScript: Script = ({ attemptId, socket }) =>
    socket.write(formatStreamStart(attemptId, [1]) + formatStreamEnd([2]));
  /** Begins the answer to a prompt with the part. */
  startCrashing: (attemptId: string) => string = (attemptId) =>
    formatStreamStart(attemptId, [1]);
  /** Called when a runner begins to answer the part; crashes it if not set. */
  beginCrash: (runner: ScriptedRunner, request: ReceivedRequest) => void = (
    runner,
  ) => void this.crash(runner);
  /** Whether a script leaves some requests without an answer. */
  holdsOthers = false;
  readonly #logger: Logger;
  readonly #listed = new Map<string, ScriptedRunner>();
  /** Resolves when the ports of runners that crash slowly are closed. */
  #closed: Promise<unknown> = Promise.resolve();
  /** Resolves when the runners that have crashed are replaced. */
  #replaced: Promise<void> = Promise.resolve();
  #isStoreAvailable = true;
  #script: FleetScript = (request, runner) =>
    this.#answerPrompt(request, runner);
  #sent = 0;

  private constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Starts a fleet whose gateways are ready. */
  static async create(options: CrashingFleetOptions): Promise<CrashingFleet> {
    const { gatewayCount, logger, runnerCount } = options;
    const fleet = new CrashingFleet(logger ?? createSilentLogger());
    for (let index = 0; index < runnerCount; index++) await fleet.#addRunner();
    for (let index = 0; index < gatewayCount; index++) await fleet.addGateway();
    return fleet;
  }

  /** Sets how all runners answer, those that start later included. */
  setScript(script: FleetScript): void {
    this.#script = script;
  }

  /** Number of runners that have crashed. */
  get crashes(): number {
    return this.runners.filter(({ hasCrashed }) => hasCrashed).length;
  }

  /** Starts another gateway and waits until it is ready. */
  async addGateway(): Promise<TestGateway> {
    const name = formatGatewayName(this.gateways.length);
    const added = await startTestGateway({ name, logger: this.#logger });
    this.gateways.push(added);
    this.#listGateways();
    added.declarations.put("main", createDeclaration(1));
    for (const [id, { address }] of this.#listed) {
      added.runners.put(id, createRunnerRecord(id, address));
    }
    while (!added.gateway.isReady) await wait(timers, 1);
    await this.#settle();
    return added;
  }

  /** Makes the store unavailable to all gateways. */
  setStoreUnavailable(): void {
    this.#isStoreAvailable = false;
    for (const { declarations, peers, runners } of this.gateways) {
      for (const source of [declarations, peers, runners]) {
        source.setUnavailable(true);
      }
    }
  }

  /**
   * Sends a request and waits for the end of its answer.
   *
   * @param gatewayIndex number of a gateway, from 0; starts anew at the end.
   */
  async request(gatewayIndex: number, call: FleetCall): Promise<FleetAnswer> {
    const { gateway } = this.gateways[gatewayIndex % this.gateways.length];
    const { path = "/story/1", prompt } = call;
    await this.#settle();
    using caller = await RawCaller.create(gateway.callerAddress);
    this.#sent += 1;
    caller.send({
      path,
      attemptId: `fleet-${this.#sent}`,
      body: call.body ?? `body ${this.#sent}`,
      headers: prompt === undefined
        ? {}
        : { [testHeaders.prompt]: `${prompt},own-${this.#sent}` },
    });
    await caller.waitUntil((each) => each.hasEnded || isWhole(each));
    const { text } = caller;
    const status = Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1]);
    return { status, text, isWhole: isWhole(caller) };
  }

  /** Lists the quarantined parts at each gateway once nothing is undelivered. */
  async listQuarantined(): Promise<string[][]> {
    while (true) {
      const states = await Promise.all(this.gateways.map(loadQuarantine));
      if (states.every(({ pendingGateways }) => pendingGateways === 0)) {
        return states.map(({ parts }) => parts.map(({ partId }) => partId));
      }
      await wait(timers, 1);
    }
  }

  /** Counts the crashes that each gateway knows of. */
  async listKnownCrashes(): Promise<number[]> {
    const states = await Promise.all(this.gateways.map(loadQuarantine));
    return states.map(({ crashes }) => crashes);
  }

  /** Counts the crashes under requests on trial that each gateway knows of. */
  async listKnownTrialCrashes(): Promise<number[]> {
    const states = await Promise.all(this.gateways.map(loadQuarantine));
    return states.map(({ trialCrashes }) => trialCrashes);
  }

  /** Counts the requests with a part that runners have received. */
  countReceived(part: string): number {
    return this.runners.flatMap(({ requests }) => requests)
      .filter(({ head }) => hasPart(head, part)).length;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const runner of this.runners) await runner[Symbol.asyncDispose]();
    await Promise.all(
      this.gateways.map(({ gateway }) => gateway[Symbol.asyncDispose]()),
    );
  }

  /** Lets a runner get no more requests. */
  async drain(runner: ScriptedRunner): Promise<void> {
    for (const [id, listed] of this.#listed) {
      if (listed !== runner) continue;
      const record = createRunnerRecord(id, runner.address);
      for (const { runners } of this.gateways) {
        runners.put(id, { ...record, isDraining: true });
      }
    }
    const isDrained = ({ gateway }: TestGateway) =>
      gateway.listRunners().some(({ isDraining }) => isDraining);
    while (!this.gateways.every(isDrained)) await wait(timers, 1);
  }

  /** Crashes a runner; another process replaces it. */
  async crash(runner: ScriptedRunner): Promise<void> {
    if (runner.hasCrashed) return;
    runner.crash();
    for (const [id, listed] of this.#listed) {
      if (listed === runner) this.#unlist(id);
    }
    this.#replaced = this.#replaced.then(() => this.#addRunner());
    await this.#replaced;
  }

  /** Crashes a runner whose port closes later than its connections. */
  async crashSlowly(runner: ScriptedRunner, delayMs: number): Promise<void> {
    runner.closeConnections();
    const crashed = wait(timers, delayMs).then(() => this.crash(runner));
    this.#closed = Promise.all([this.#closed, crashed]);
    await crashed;
  }

  /** Waits until all gateways know the current runners. */
  async #settle(): Promise<void> {
    await this.#closed;
    await this.#replaced;
    const isKnown = ({ gateway }: TestGateway) => {
      const known = new Set(gateway.listRunners().map(({ id }) => id));
      return known.size === this.#listed.size &&
        [...this.#listed.keys()].every((id) => known.has(id));
    };
    const isCurrent = (each: TestGateway) =>
      isKnown(each) && each.peers.isCaughtUp;
    while (this.#isStoreAvailable && !this.gateways.every(isCurrent)) {
      await wait(timers, 1);
    }
  }

  #unlist(id: string): void {
    this.#listed.delete(id);
    for (const { runners } of this.gateways) runners.put(id, undefined);
  }

  async #addRunner(): Promise<void> {
    const runner = await ScriptedRunner.create((request) =>
      this.#script(request, runner)
    );
    const id = `r${this.runners.length}`;
    this.runners.push(runner);
    this.#listed.set(id, runner);
    for (const { runners } of this.gateways) {
      runners.put(id, createRunnerRecord(id, runner.address));
    }
  }

  /** Begins to answer a prompt with the crashing part, and crashes. */
  #answerPrompt(request: ReceivedRequest, runner: ScriptedRunner): void {
    if (!hasPart(request.head, crashingPart)) this.soundScript(request);
    else {
      const start = this.startCrashing(request.attemptId);
      request.socket.write(start, () => this.beginCrash(runner, request));
    }
  }

  #listGateways(): void {
    this.gateways.forEach(({ peers }, self) =>
      this.gateways.forEach(({ gateway }, index) => {
        const record = { address: gateway.peerAddress, capacity: 1 };
        if (index !== self) peers.put(formatGatewayName(index), record);
      })
    );
  }
}

function formatGatewayName(index: number): string {
  return `gateway-${index}`;
}

function hasPart(head: string, part: string): boolean {
  const prompt = new RegExp(`^${testHeaders.prompt}: (.*)$`, "im").exec(head);
  return prompt?.[1].trim().split(",").includes(part) === true;
}
