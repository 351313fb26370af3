import type { RequestListener } from "node:http";
import { createSystemRandom } from "@jasminetide/core/random";
import type { TimerService } from "@jasminetide/core/timers";
import { Router, type RouterSettings } from "@jasminetide/router";
import { configurationObject } from "@jasminetide/runtime/configuration";
import { ResourceStack } from "@jasminetide/runtime/disposal";
import { startServer } from "@jasminetide/runtime/http";
import type { Logger } from "@jasminetide/runtime/logging";
import type { HostRecord } from "@jasminetide/runtime/platform";
import { Sidecar, type SidecarSettings } from "@jasminetide/sidecar";
import {
  createDepositState,
  createEngineProfile,
  DepositLedger,
  type DepositState,
  Engine,
  HostList,
  ObjectApi,
  startPlatformServer,
  WeightStore,
} from "@jasminetide/stand_in";
import type { FleetDefinition } from "./load_fleet.ts";

/** Options for starting a fleet in one process. */
export type LocalFleetOptions = {
  definition: FleetDefinition;
  timers: TimerService;
  createLogger: (process: string) => Logger;
  /** Whether listeners use free ports instead of the ports in the settings. */
  useFreePorts?: boolean;
  /** Overrides the settings' notice period before a planned stop. */
  leaveNoticeMs?: number;
  /** Starts a proxy in front of a sidecar; returns the address to advertise. */
  linkSidecar?: (
    runner: string,
    getTarget: () => string,
  ) => Promise<string>;
};

/** A whole fleet, including stand-ins, in one process and event loop. */
export class LocalFleet {
  readonly routers: Router[] = [];
  readonly sidecars: Sidecar[] = [];
  readonly engines = new Map<string, Engine>();
  readonly deposits: DepositState = createDepositState();
  readonly objects: ObjectApi;
  readonly hosts: HostList;
  readonly weights: WeightStore;
  readonly #options: LocalFleetOptions;
  readonly #resources = ResourceStack.create();
  #platformAddress = "";

  private constructor(options: LocalFleetOptions) {
    const { definition, timers } = options;
    const random = createSystemRandom();
    this.#options = options;
    this.objects = ObjectApi.create({
      timers,
      getRandom: random.getFloat,
      rates: {
        readsPerSecond: definition.standIns.platformReadsPerSecond,
        writesPerSecond: definition.standIns.platformWritesPerSecond,
      },
    });
    this.weights = WeightStore.create({
      bytesPerSecond: definition.standIns.weightStoreBytesPerSecond,
    });
    this.hosts = HostList.create({
      timers,
      lagMs: definition.standIns.hostListLagMs,
    });
  }

  /** Starts the stand-ins, then the sidecars, then the routers. */
  static async create(options: LocalFleetOptions): Promise<LocalFleet> {
    const fleet = new LocalFleet(options);
    await fleet.#start();
    return fleet;
  }

  /** Address of the stand-in for the platform, as `ip:port`. */
  get platformAddress(): string {
    return this.#platformAddress;
  }

  /** Takes ownership of a router that the caller has started. */
  addRouter(router: Router): void {
    this.#resources.use(router);
    this.routers.push(router);
  }

  /** Stops a sidecar gracefully and restarts it at the same addresses. */
  async restartSidecar(index: number): Promise<void> {
    const previous = this.sidecars[index];
    await previous[Symbol.asyncDispose]();
    const sidecar = await this.#createSidecar({
      ...previous.settings,
      dataAddress: previous.dataAddress,
      controlAddress: previous.controlAddress,
    });
    this.sidecars[index] = this.#resources.use(sidecar);
  }

  /** Stops a router gracefully and restarts it at the same addresses. */
  async restartRouter(index: number): Promise<void> {
    const previous = this.routers[index];
    await previous[Symbol.asyncDispose]();
    const router = await this.#createRouter({
      ...previous.settings,
      callerAddress: previous.callerAddress,
      controlAddress: previous.controlAddress,
    });
    this.routers[index] = this.#resources.use(router);
  }

  /** Stops the routers, then the sidecars, then the stand-ins. */
  async [Symbol.asyncDispose](): Promise<void> {
    await this.#resources[Symbol.asyncDispose]();
  }

  async #start(): Promise<void> {
    const { definition } = this.#options;
    await this.#startPlatform();
    const records: HostRecord[] = [];
    for (const settings of definition.sidecars) {
      records.push(await this.#startSidecar(settings));
    }
    this.hosts.set([...records]);
    for (const settings of definition.routers) {
      records.push(await this.#startRouter(settings));
      this.hosts.set([...records]);
    }
  }

  async #startPlatform(): Promise<void> {
    const { definition } = this.#options;
    const { kind, name } = configurationObject;
    const value = JSON.stringify(definition.configuration);
    this.objects.store.put(`${kind}/${name}`, value, "any");
    const server = await startPlatformServer({
      address: this.#getListenAddress(definition.standIns.platformAddress),
      objects: this.objects,
      hosts: this.hosts,
    });
    this.#resources.use(server);
    this.#platformAddress = server.address;
  }

  async #startSidecar(settings: SidecarSettings): Promise<HostRecord> {
    const runner = await startServer(
      this.#getListenAddress(settings.runnerAddress),
      this.#createRunner(settings),
    );
    this.#resources.use(runner);
    let sidecar: Sidecar | undefined = undefined;
    const advertisedDataAddress = await this.#options.linkSidecar?.(
      settings.runner,
      () => sidecar?.dataAddress ?? "",
    );
    sidecar = await this.#createSidecar({
      ...settings,
      ...(advertisedDataAddress === undefined ? {} : { advertisedDataAddress }),
      runnerAddress: runner.address,
      dataAddress: this.#getListenAddress(settings.dataAddress),
      controlAddress: this.#getListenAddress(settings.controlAddress),
    });
    this.#resources.use(sidecar);
    this.sidecars.push(sidecar);
    return createHostRecord(settings, sidecar);
  }

  async #startRouter(
    settings: RouterSettings,
  ): Promise<HostRecord> {
    const router = await this.#createRouter({
      ...settings,
      callerAddress: this.#getListenAddress(settings.callerAddress),
      controlAddress: this.#getListenAddress(settings.controlAddress),
    });
    this.#resources.use(router);
    this.routers.push(router);
    return {
      id: settings.host,
      failureDomain: settings.failureDomain,
      region: settings.region,
      state: "live",
      processes: [{
        type: "router",
        name: settings.name,
        controlAddress: router.controlAddress,
      }],
    };
  }

  #createSidecar(settings: SidecarSettings): Promise<Sidecar> {
    const { createLogger, leaveNoticeMs, timers } = this.#options;
    return Sidecar.create({
      settings: {
        ...settings,
        leaveNoticeMs: leaveNoticeMs ?? settings.leaveNoticeMs,
        platformAddress: this.#platformAddress,
      },
      timers,
      logger: createLogger(settings.name),
    });
  }

  #createRouter(settings: RouterSettings): Promise<Router> {
    const { createLogger, leaveNoticeMs, timers } = this.#options;
    return Router.create({
      settings: {
        ...settings,
        leaveNoticeMs: leaveNoticeMs ?? settings.leaveNoticeMs,
        platformAddress: this.#platformAddress,
      },
      timers,
      logger: createLogger(settings.name),
    });
  }

  #createRunner(settings: SidecarSettings): RequestListener {
    if (settings.kind === "service") {
      const service = DepositLedger.create(
        this.deposits,
        settings.pools[0],
      );
      return (request, response) => void service.handle(request, response);
    }
    const { standIns } = this.#options.definition;
    const engine = Engine.create({
      timers: this.#options.timers,
      models: settings.pools,
      profile: createEngineProfile(standIns),
      weights: this.weights,
    });
    this.engines.set(settings.runner, engine);
    return (request, response) => void engine.handle(request, response);
  }

  #getListenAddress(address: string): string {
    return this.#options.useFreePorts === true ? "127.0.0.1:0" : address;
  }
}

function createHostRecord(
  settings: SidecarSettings,
  sidecar: Sidecar,
): HostRecord {
  return {
    id: settings.host,
    failureDomain: settings.failureDomain,
    region: settings.region,
    state: "live",
    processes: [{
      type: "sidecar",
      name: settings.name,
      runner: settings.runner,
      kind: settings.kind,
      pools: settings.pools,
      capacity: settings.capacity,
      dataAddress: sidecar.advertisedDataAddress,
      controlAddress: sidecar.controlAddress,
    }],
  };
}
