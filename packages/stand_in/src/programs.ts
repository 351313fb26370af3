import type { RequestListener } from "node:http";
import { createSeededRandom } from "@jasminetide/core/random";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { type ListeningServer, startServer } from "@jasminetide/runtime/http";
import { createEngineProfile, Engine, WeightStore } from "./engine/mod.ts";
import { HostList } from "./host_list/mod.ts";
import type {
  EngineSettings,
  PlatformSettings,
  ServiceSettings,
} from "./main_settings.ts";
import { ObjectApi } from "./object_api/mod.ts";
import { startPlatformServer } from "./platform_server.ts";
import { createDepositState, DepositLedger } from "./service/mod.ts";

/** Starts the platform stand-in. */
export function startPlatform(
  settings: PlatformSettings,
): Promise<ListeningServer> {
  const timers = RealTimerService.create();
  const { address, readsPerSecond, writesPerSecond } = settings;
  const random = createSeededRandom(settings.seed);
  return startPlatformServer({
    address,
    objects: ObjectApi.create({
      timers,
      getRandom: random.getFloat,
      rates: { readsPerSecond, writesPerSecond },
    }),
    hosts: HostList.create({ timers, lagMs: settings.hostListLagMs }),
  });
}

/** Starts a model engine stand-in with its own weight store. */
export function startEngine(
  settings: EngineSettings,
): Promise<ListeningServer> {
  const engine = Engine.create({
    timers: RealTimerService.create(),
    models: settings.models,
    profile: createEngineProfile(settings),
    random: createSeededRandom(settings.seed),
    weights: WeightStore.create({
      bytesPerSecond: settings.weightStoreBytesPerSecond,
    }),
  });
  const listener: RequestListener = (request, response) =>
    void engine.handle(request, response);
  return startServer(settings.address, listener);
}

/** Starts a plain service stand-in with its own state. */
export function startService(
  settings: ServiceSettings,
): Promise<ListeningServer> {
  const service = DepositLedger.create(
    createDepositState(),
    settings.service,
  );
  const listener: RequestListener = (request, response) =>
    void service.handle(request, response);
  return startServer(settings.address, listener);
}
