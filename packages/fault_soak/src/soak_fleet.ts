/** Gateways, runners, links and store of one episode. */
import { setTimeout } from "node:timers/promises";
import type { RandomSource } from "@jasminetide/core/random";
import {
  coldServices,
  getRunnerDomain,
  soakDomains,
} from "./failure_domains.ts";
import type { FleetSize } from "./fault_kinds.ts";
import {
  createGateway,
  type SoakGateway,
  startGateway,
  waitUntilReady,
} from "./fleet_gateway.ts";
import {
  chooseSoftwareVersion,
  createRunner,
  formatRunnerId,
  getColdMs,
  type SoakRunner,
  startRunner,
} from "./fleet_runner.ts";
import type { History } from "./history.ts";
import { LinkHost } from "./link_host.ts";
import { createSoakDeclaration } from "./soak_declaration.ts";
import { runnerSlots } from "./soak_runner.ts";
import type { EpisodeSwitches } from "./episode_switches.ts";
import { StoreServer } from "./store_server.ts";
import type { SoakPrograms } from "./wire.ts";

/** Options of a fleet under test. */
export type SoakFleetOptions = {
  programs: SoakPrograms;
  size: FleetSize;
  random: RandomSource;
  history: History;
  switches: EpisodeSwitches;
  /** Folder for settings and logs. */
  folder: string;
};

/** Time after which the store removes the entry of a stopped runner. */
const leaseMs = 2000;

/** The processes, links and store of one episode. */
export class SoakFleet {
  readonly gateways: SoakGateway[] = [];
  readonly runners: SoakRunner[] = [];
  readonly store: StoreServer;
  readonly #links = LinkHost.create();
  readonly #options: SoakFleetOptions;
  #version = 0;
  #heartbeat = 0;
  #isDisposing = false;

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
    } catch (error) {
      await fleet[Symbol.asyncDispose]();
      throw error;
    }
  }

  /** Newest version of the declaration. */
  get version(): number {
    return this.#version;
  }

  /** Writes a new version with one more route to the store. */
  putNextDeclaration(): void {
    this.#version += 1;
    this.#putDeclaration();
    const atMs = Date.now();
    this.#options.history.declared.push({ version: this.#version, atMs });
  }

  #putDeclaration(): void {
    const { hasDomainFaults } = this.#options.switches;
    const services = hasDomainFaults ? coldServices : undefined;
    const declaration = createSoakDeclaration(this.#version, services);
    this.store.objects.putDeclaration(declaration);
  }

  /** Evacuates a failure domain for a time. */
  async evacuate(domain: string, durationMs: number): Promise<void> {
    const { objects } = this.store;
    const { evacuated } = this.#options.history;
    objects.setEvacuated(domain, true);
    const entry = { domain, fromMs: Date.now(), untilMs: Infinity };
    evacuated.push(entry);
    await setTimeout(durationMs);
    entry.untilMs = Date.now();
    this.#putEvacuations();
  }

  /** Writes what the operator asks for now, also over what a copy brought back. */
  #putEvacuations(): void {
    const { evacuated } = this.#options.history;
    for (const domain of soakDomains) {
      const isEvacuated = evacuated.some((each) =>
        each.domain === domain && each.untilMs === Infinity
      );
      this.store.objects.setEvacuated(domain, isEvacuated);
    }
  }

  /** Starts a new process of a gateway once the old one has exited. */
  async restartGateway(gateway: SoakGateway): Promise<void> {
    const { incarnation } = gateway;
    await gateway.process.waitForExit();
    if (this.#isDisposing || gateway.incarnation !== incarnation) return;
    gateway.incarnation += 1;
    gateway.process = startGateway(gateway, this.#options);
  }

  /** Starts a new process of a runner, with a new id, once the old one exited. */
  async restartRunner(runner: SoakRunner): Promise<void> {
    runner.restart ??= this.#replaceRunner(runner);
    await runner.restart;
    runner.restart = undefined;
  }

  async #replaceRunner(runner: SoakRunner): Promise<void> {
    const { history } = this.#options;
    const { id } = runner;
    await runner.process.waitForExit();
    runner.incarnation += 1;
    await setTimeout(leaseMs);
    this.store.objects.removeRunner(id);
    if (this.#isDisposing) return;
    runner.id = formatRunnerId(runner);
    runner.softwareVersion = chooseSoftwareVersion(runner, this.#options);
    runner.process = startRunner(runner, this.#options);
    this.putRunner(runner, { isDraining: false });
    const untilMs = runner.process.startedAtMs + this.#getColdMs(runner);
    const { id: newId, index } = runner;
    history.cold.push({ runner: newId, index, fromMs: Date.now(), untilMs });
  }

  #getColdMs(runner: SoakRunner): number {
    return getColdMs(runner, this.#options.switches);
  }

  /** Writes a runner's entry in the store. */
  putRunner(runner: SoakRunner, state: { isDraining: boolean }): void {
    const { startedAtMs } = runner.process;
    const coldLeftMs = startedAtMs + this.#getColdMs(runner) - Date.now();
    runner.isDraining = state.isDraining;
    this.#heartbeat += 1;
    this.#options.history.domains.set(runner.id, this.#getDomain(runner));
    this.store.objects.putRunner({
      id: runner.id,
      service: runner.service,
      address: runner.link.address,
      failureDomain: this.#getDomain(runner),
      slots: runnerSlots,
      isDraining: state.isDraining,
      startedAtMs,
      softwareVersion: runner.softwareVersion,
      heartbeat: this.#heartbeat,
      ...(coldLeftMs > 0 ? { coldLeftMs } : {}),
    });
  }

  /** Each domain has runners of every service where domains fail as a whole. */
  #getDomain(runner: SoakRunner): string {
    return this.#options.switches.hasDomainFaults
      ? getRunnerDomain(runner)
      : soakDomains[runner.index % soakDomains.length];
  }

  /**
   * Writes again, after the store was restored, what operator and runners had
   * written. Entries of runners that are gone expire.
   */
  async writeAgain(): Promise<void> {
    const { objects } = this.store;
    this.#putDeclaration();
    this.#putEvacuations();
    for (const runner of this.runners) {
      if (runner.restart === undefined) this.putRunner(runner, runner);
    }
    await setTimeout(leaseMs);
    const ids = new Set(this.runners.map(({ id }) => id));
    for (const id of objects.listRunnerIds()) {
      if (!ids.has(id)) objects.removeRunner(id);
    }
    for (const { service } of this.runners) objects.putOddEntries(service);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#isDisposing = true;
    for (const { process } of [...this.gateways, ...this.runners]) {
      await process[Symbol.asyncDispose]();
    }
    await this.#links[Symbol.asyncDispose]();
    await this.store[Symbol.asyncDispose]();
  }

  async #start(): Promise<void> {
    const { size } = this.#options;
    const { address: storeAddress, objects } = this.store;
    const links = this.#links;
    const options = { ...this.#options, links, objects, storeAddress };
    this.putNextDeclaration();
    for (let index = 0; index < size.runners; index++) {
      const runner = await createRunner(index, options);
      this.runners.push(runner);
      this.putRunner(runner, runner);
      objects.putOddEntries(runner.service);
    }
    for (let index = 0; index < size.gateways; index++) {
      this.gateways.push(await createGateway(index, options));
    }
    await Promise.all(this.gateways.map(waitUntilReady));
  }
}
