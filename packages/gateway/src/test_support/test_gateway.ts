import type {
  DeclaredRoute,
  RoutingDeclaration,
} from "@jasminetide/core/routes";
import { AppError } from "@jasminetide/core/results";
import type { TimerService } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { createSilentLogger, type Logger } from "@jasminetide/runtime/logging";
import { Gateway } from "../gateway.ts";
import { type GatewaySettings, gatewaySettingsSchema } from "../settings.ts";
import type { StreamRecord, StreamRegistry } from "../stream_versions/mod.ts";
import type { PeerRecord } from "../peers/mod.ts";
import type { Evacuation } from "../evacuations/mod.ts";
import type { RunnerRecord } from "../upstreams/mod.ts";
import { testProtocol } from "./test_protocol.ts";
import { TestSource } from "./test_source.ts";

/** Host name of the test routes. */
export const testHost = "tests.example";

const commonRoute = {
  host: testHost,
  timeoutMs: 60_000,
  goalMs: 100,
  pauseGoalMs: undefined,
  priority: 0,
  services: [{ service: "service", weight: 1 }],
  maxAttempts: 2,
  isPublic: true,
  isResumable: false,
} as const;

/** Routes of each kind, each with a path prefix of its own. */
export const testRoutes: DeclaredRoute[] = [
  { ...commonRoute, services: [...commonRoute.services] },
].flatMap((route) => [
  { ...route, name: "lookup", pathPrefix: "/lookup/", kind: "idempotent" },
  {
    ...route,
    name: "payout",
    pathPrefix: "/payout/",
    kind: "nonIdempotent",
    maxAttempts: 1,
  },
  {
    ...route,
    name: "story",
    pathPrefix: "/story/",
    kind: "stream",
    isResumable: true,
  },
  { ...route, name: "summary", pathPrefix: "/summary/", kind: "stream" },
  {
    ...route,
    name: "private",
    pathPrefix: "/private/",
    kind: "idempotent",
    isPublic: false,
  },
]);

/** Creates a declaration, by default with the test routes. */
export function createDeclaration(
  version: number,
  routes: DeclaredRoute[] = testRoutes,
): RoutingDeclaration {
  return {
    version,
    routes,
    workspaces: [
      { name: "kiosk", apiKeys: ["kiosk-key"], priority: undefined },
    ],
    callerLimits: {
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** Creates the record of a runner at `ip:port`. */
export function createRunnerRecord(id: string, address: string): RunnerRecord {
  return {
    id,
    service: "service",
    address,
    failureDomain: "a",
    slots: 8,
    isDraining: false,
    startedAtMs: 1,
    softwareVersion: "v1",
    heartbeat: 0,
  };
}

/** A gateway and the test stores that it follows. */
export type TestGateway = {
  gateway: Gateway;
  declarations: TestSource<RoutingDeclaration>;
  runners: TestSource<RunnerRecord>;
  evacuations: TestSource<Evacuation>;
  /** Gateways in the store's list. */
  peers: TestSource<PeerRecord>;
  /** Records of gateways on the streams that they relay. */
  streams: TestStreams;
};

/** Records of streams in a store that tests control. */
export type TestStreams = {
  records: Map<string, StreamRecord>;
  isUnavailable: boolean;
};

/** Options of a test gateway. */
export type TestGatewayOptions = {
  name?: string;
  logger?: Logger;
  timers?: TimerService;
  sampleShare?: number;
  linesPerSecond?: number;
  seedAddresses?: string[];
  /** Gateway whose stores it uses; it has its own if absent. */
  sharedWith?: TestGateway;
  /** Whether its store is unavailable from the start. */
  isStoreUnavailable?: boolean;
  /** Retry budget; allows nearly every retry if absent. */
  repeats?: { ratio: number; slack: number };
  /** Memory and descriptors of its host. */
  host?: { memoryMb?: number; maxDescriptors?: number };
  /** Limit on hedges; none are sent if absent. */
  hedging?: { maxShare: number };
  /** Whether it follows evacuations. */
  hasEvacuations?: boolean;
  /** Share of the limit for evacuations in which these are a last resort. */
  lastResortShare?: number;
};

/** Creates the settings of a test gateway. */
export function createTestSettings(
  options: TestGatewayOptions,
): GatewaySettings {
  return gatewaySettingsSchema.parse({
    name: options.name ?? "gateway-1",
    failureDomain: "a",
    callerAddress: "127.0.0.1:0",
    readinessAddress: "127.0.0.1:0",
    peerAddress: "127.0.0.1:0",
    seedAddresses: options.seedAddresses ?? [],
    platform: {
      address: "127.0.0.1:1",
      ...(options.hasEvacuations ? { evacuationLimitMs: 5000 } : {}),
      lastResortShare: options.lastResortShare,
    },
    host: options.host ?? {},
    stop: { noticeMs: 1, graceSeconds: 5 },
    repeats: options.repeats ?? { ratio: 1, slack: 1000 },
    hedging: options.hedging,
    log: {
      sampleShare: options.sampleShare ?? 0,
      linesPerSecond: options.linesPerSecond,
    },
  });
}

/** Starts a gateway on free ports of the loopback address. */
export async function startTestGateway(
  options: TestGatewayOptions = {},
): Promise<TestGateway> {
  const {
    declarations = TestSource.create<RoutingDeclaration>(),
    runners = TestSource.create<RunnerRecord>(),
    evacuations = TestSource.create<Evacuation>(),
    peers = TestSource.create<PeerRecord>(),
    streams = { records: new Map(), isUnavailable: false },
  } = options.sharedWith ?? {};
  declarations.setUnavailable(options.isStoreUnavailable === true);
  runners.setUnavailable(options.isStoreUnavailable === true);
  evacuations.setUnavailable(options.isStoreUnavailable === true);
  const gateway = await Gateway.create({
    settings: createTestSettings(options),
    timers: options.timers ?? RealTimerService.create(),
    logger: options.logger ?? createSilentLogger(),
    protocol: testProtocol,
    declarations,
    runners,
    evacuations,
    registry: {
      peers,
      announce: () => Promise.resolve(),
      withdraw: () => Promise.resolve(),
    },
    streams: createStreamRegistry(streams),
  });
  return { gateway, declarations, runners, evacuations, peers, streams };
}

function createStreamRegistry(streams: TestStreams): StreamRegistry {
  const call = <Result>(run: () => Result): Promise<Result> =>
    streams.isUnavailable
      ? Promise.reject(AppError.create("platformUnavailable", "Test outage"))
      : Promise.resolve(run());
  return {
    list: () => call(() => new Map(streams.records)),
    write: (name, record) => call(() => void streams.records.set(name, record)),
    remove: (name) => call(() => void streams.records.delete(name)),
  };
}
