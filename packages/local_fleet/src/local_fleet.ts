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

/** How a fleet in one process is started. */
export type LocalFleetOptions = {
  definition: FleetDefinition;
  timers: TimerService;
  createLogger: (process: string) => Logger;
  /** Whether each listener takes a free port instead of the one in settings. */
  useFreePorts?: boolean;
  /** Replaces the notice before a planned stop in the settings. */
  leaveNoticeMs?: number;
  /** Puts a link before a sidecar and gets the address to advertise. */
  linkSidecar?: (
    runner: string,
    getTarget: () => string,
  ) => Promise<string>;
};

/** A whole fleet, stand-ins included, in one process on one loop. */
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

  /** `ip:port` of the platform. */
  get platformAddress(): string {
    return this.#platformAddress;
  }

  /** Takes ownership of a router that was started beside the others. */
  add(router: Router): void {
    this.#resources.use(router);
    this.routers.push(router);
  }

  /** Stops a sidecar as planned and starts it anew at the same addresses. */
  async restartSidecar(index: number): Promise<void> {
    const before = this.sidecars[index];
    await before[Symbol.asyncDispose]();
    const sidecar = await this.#createSidecar({
      ...before.settings,
      dataAddress: before.dataAddress,
      controlAddress: before.controlAddress,
    });
    this.sidecars[index] = this.#resources.use(sidecar);
  }

  /** Stops a router as planned and starts it anew at the same addresses. */
  async restartRouter(index: number): Promise<void> {
    const before = this.routers[index];
    await before[Symbol.asyncDispose]();
    const router = await this.#createRouter({
      ...before.settings,
      callerAddress: before.callerAddress,
      controlAddress: before.controlAddress,
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
      address: this.#getAddress(definition.standIns.platformAddress),
      objects: this.objects,
      hosts: this.hosts,
    });
    this.#resources.use(server);
    this.#platformAddress = server.address;
  }

  async #startSidecar(settings: SidecarSettings): Promise<HostRecord> {
    const runner = await startServer(
      this.#getAddress(settings.runnerAddress),
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
      dataAddress: this.#getAddress(settings.dataAddress),
      controlAddress: this.#getAddress(settings.controlAddress),
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
      callerAddress: this.#getAddress(settings.callerAddress),
      controlAddress: this.#getAddress(settings.controlAddress),
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

  #getAddress(address: string): string {
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
