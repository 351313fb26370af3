import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout } from "node:timers/promises";
import type { RandomSource } from "@jasminetide/core/random";
import { FaultLink } from "@jasminetide/testing/fault_link";
import type { FleetSize } from "./faults.ts";
import type { History, RunnerEvent } from "./history.ts";
import { ManagedProcess } from "./managed_process.ts";
import { reservePort } from "./ports.ts";
import { createSoakDeclaration } from "./soak_declaration.ts";
import { runnerSlots } from "./soak_runner.ts";
import { StoreServer } from "./store_server.ts";
import type { SoakPrograms } from "./wire.ts";

/** What a fleet under test is started with. */
export type SoakFleetOptions = {
  programs: SoakPrograms;
  size: FleetSize;
  random: RandomSource;
  history: History;
  /** Folder for settings and logs. */
  folder: string;
};

/** A gateway with the links on both of its sides. */
export type SoakGateway = {
  index: number;
  callerLink: FaultLink;
  storeLink: FaultLink;
  readinessAddress: string;
  settingsFile: string;
  process: ManagedProcess;
  /** Counts its processes. */
  life: number;
};

/** A runner with the link to it. */
export type SoakRunner = {
  index: number;
  link: FaultLink;
  port: number;
  service: string;
  /** Changes with each of its processes. */
  id: string;
  process: ManagedProcess;
  life: number;
  /** Settles when a restart that is under way is over. */
  restart: Promise<void> | undefined;
};

/** Budget of repeats of each gateway's settings. */
export const repeatBudget = { ratio: 0.2, slack: 10, windowSeconds: 10 };

const graceSeconds = 5;

/** Time after which the store drops the entry of a runner that is gone. */
const leaseMs = 2000;

const startLimitMs = 15_000;
const pollMs = 25;

/** The processes, links and store of one episode. */
export class SoakFleet {
  readonly gateways: SoakGateway[] = [];
  readonly runners: SoakRunner[] = [];
  readonly store: StoreServer;
  readonly #options: SoakFleetOptions;
  #version = 0;
  #isEnding = false;

  private constructor(options: SoakFleetOptions, store: StoreServer) {
    this.#options = options;
    this.store = store;
  }

  /** Starts all processes and waits until the gateways are ready. */
  static async create(options: SoakFleetOptions): Promise<SoakFleet> {
    const store = await StoreServer.create(options.programs.createObjects());
    const fleet = new SoakFleet(options, store);
    try {
      await fleet.#start();
      return fleet;
    } catch (thrown) {
      await fleet[Symbol.asyncDispose]();
      throw thrown;
    }
  }

  /** Newest version of the declaration. */
  get version(): number {
    return this.#version;
  }

  /** Puts a version in the store that adds one route. */
  declareNext(): void {
    this.#version += 1;
    this.store.objects.putDeclaration(createSoakDeclaration(this.#version));
    const atMs = Date.now();
    this.#options.history.declared.push({ version: this.#version, atMs });
  }

  /** Starts a gateway's process again once the old one has ended. */
  async restartGateway(gateway: SoakGateway): Promise<void> {
    const { life } = gateway;
    await gateway.process.waitForEnd();
    if (this.#isEnding || gateway.life !== life) return;
    gateway.life += 1;
    gateway.process = this.#startGateway(gateway);
  }

  /** Starts a runner's process again under another id once it has ended. */
  async restartRunner(runner: SoakRunner): Promise<void> {
    runner.restart ??= this.#replaceRunner(runner);
    await runner.restart;
    runner.restart = undefined;
  }

  async #replaceRunner(runner: SoakRunner): Promise<void> {
    const { id } = runner;
    await runner.process.waitForEnd();
    runner.life += 1;
    await setTimeout(leaseMs);
    this.store.objects.removeRunner(id);
    if (this.#isEnding) return;
    runner.id = formatRunnerId(runner);
    runner.process = this.#startRunner(runner);
    this.putRunner(runner, { isDraining: false });
  }

  /** Writes a runner's entry in the store. */
  putRunner(runner: SoakRunner, state: { isDraining: boolean }): void {
    this.store.objects.putRunner({
      id: runner.id,
      service: runner.service,
      address: runner.link.address,
      failureDomain: `domain-${runner.index % 2}`,
      slots: runnerSlots,
      isDraining: state.isDraining,
      startedAtMs: runner.process.startedAtMs,
    });
  }

  /** Waits until every gateway's readiness address says so. */
  async waitUntilReady(): Promise<void> {
    const endMs = Date.now() + startLimitMs;
    for (const gateway of this.gateways) {
      while (!await isReady(gateway.readinessAddress)) {
        if (Date.now() > endMs) {
          throw new Error(`gateway ${gateway.index} is not ready in time`);
        }
        await setTimeout(pollMs);
      }
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#isEnding = true;
    for (const { process } of [...this.gateways, ...this.runners]) {
      await process[Symbol.asyncDispose]();
    }
    for (const { callerLink, storeLink } of this.gateways) {
      await callerLink[Symbol.asyncDispose]();
      await storeLink[Symbol.asyncDispose]();
    }
    for (const { link } of this.runners) await link[Symbol.asyncDispose]();
    await this.store[Symbol.asyncDispose]();
  }

  async #start(): Promise<void> {
    const { size } = this.#options;
    this.declareNext();
    for (let index = 0; index < size.runners; index++) {
      await this.#addRunner(index);
    }
    for (let index = 0; index < size.gateways; index++) {
      await this.#addGateway(index);
    }
    await this.waitUntilReady();
  }

  async #addGateway(index: number): Promise<void> {
    const { folder, random } = this.#options;
    const reserveAddress = async () => `127.0.0.1:${await reservePort(random)}`;
    const callerAddress = await reserveAddress();
    const readinessAddress = await reserveAddress();
    const peerAddress = await reserveAddress();
    const callerLink = await FaultLink.create({
      getTarget: () => callerAddress,
    });
    const storeLink = await FaultLink.create({
      getTarget: () => this.store.address,
    });
    const settingsFile = join(folder, `gateway-${index}.jsonc`);
    writeFileSync(
      settingsFile,
      JSON.stringify({
        name: `gateway-${index}`,
        failureDomain: `domain-${index % 2}`,
        callerAddress,
        readinessAddress,
        peerAddress,
        platform: { address: storeLink.address },
        stop: { noticeMs: 800, graceSeconds },
        repeats: repeatBudget,
        log: { sampleShare: 1, linesPerSecond: 2000 },
      }),
    );
    const gateway = {
      index,
      callerLink,
      storeLink,
      readinessAddress,
      settingsFile,
      life: 0,
    };
    this.gateways.push({ ...gateway, process: this.#startGateway(gateway) });
  }

  #startGateway(
    gateway: Pick<SoakGateway, "index" | "settingsFile">,
  ): ManagedProcess {
    const { folder, programs } = this.#options;
    const { script, settingsVariable } = programs.gateway;
    const name = `gateway-${gateway.index}`;
    return ManagedProcess.create({
      name,
      script,
      environment: { [settingsVariable]: gateway.settingsFile },
      logFile: join(folder, `${name}.log`),
    });
  }

  async #addRunner(index: number): Promise<void> {
    const port = await reservePort(this.#options.random);
    const link = await FaultLink.create({
      getTarget: () => `127.0.0.1:${port}`,
    });
    const service = index % 2 === 0 ? "engine" : "desk";
    const parts = { index, link, port, service, life: 0, restart: undefined };
    const id = formatRunnerId(parts);
    const process = this.#startRunner({ ...parts, id });
    const runner = { ...parts, id, process };
    this.runners.push(runner);
    this.putRunner(runner, { isDraining: false });
  }

  #startRunner(
    runner: Pick<SoakRunner, "id" | "index" | "port" | "service">,
  ): ManagedProcess {
    const { folder, history, programs } = this.#options;
    return ManagedProcess.create({
      name: runner.id,
      script: programs.runnerScript,
      args: [runner.id, runner.service, String(runner.port)],
      logFile: join(folder, `runner-${runner.index}.log`),
      onLine: (line) =>
        history.runnerEvents.push(JSON.parse(line) as RunnerEvent),
    });
  }
}

function formatRunnerId(runner: { index: number; life: number }): string {
  return `runner-${runner.index}-${runner.life}`;
}

async function isReady(address: string): Promise<boolean> {
  try {
    const answer = await fetch(`http://${address}/`, {
      signal: AbortSignal.timeout(1000),
    });
    await answer.text();
    return answer.status === 200;
  } catch {
    // Not listening yet: asked again until the limit of the start.
    return false;
  }
}
