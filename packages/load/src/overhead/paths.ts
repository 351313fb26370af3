import type { IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { fileURLToPath } from "node:url";
import type { TimerService } from "@jasminetide/core/timers";
import {
  type FleetDefinition,
  loadFleet,
  LocalFleet,
} from "@jasminetide/local_fleet";
import { ResourceStack } from "@jasminetide/runtime/disposal";
import { startServer } from "@jasminetide/runtime/http";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import { Engine } from "@jasminetide/stand_in";
import polka from "polka";
import { Pool } from "undici";

/** Paths to an engine that are compared. */
export const pathNames = ["direct", "pass-through", "fleet"] as const;

/** Name of a path to an engine. */
export type PathName = (typeof pathNames)[number];

/** Address of each path; this process serves all of them. */
export type Paths = AsyncDisposable & {
  addresses: { [Name in PathName]: string };
};

const fleetFolder = fileURLToPath(
  new URL("../../../../examples/local", import.meta.url),
);

/** Profile without delays, so that the engine does not hide the overhead. */
const instantProfile = {
  firstTokenMs: 0,
  betweenTokensMs: 0,
  sequenceStepMs: 0,
  prefillTokenMs: 0,
};

const maxConnections = 256;
const unlimited = 1_000_000_000;
const readyPollMs = 10;

/** Starts an engine, a bare pass-through before it, and a local fleet. */
export async function startPaths(timers: TimerService): Promise<Paths> {
  const resources = ResourceStack.create();
  const engine = Engine.create({
    timers,
    models: ["assistant"],
    profile: instantProfile,
  });
  const runner = await startServer(
    "127.0.0.1:0",
    (request, response) => void engine.handle(request, response),
  );
  resources.use(runner);
  const passThrough = await startPassThrough(runner.address, resources);
  const fleet = await startFleet(timers);
  resources.use(fleet);
  return {
    addresses: {
      "direct": runner.address,
      "pass-through": passThrough,
      "fleet": fleet.routers[0].callerAddress,
    },
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
  };
}

/** Starts a minimal proxy of polka and undici as the baseline. */
async function startPassThrough(
  runnerAddress: string,
  resources: ResourceStack,
): Promise<string> {
  const pool = new Pool(`http://${runnerAddress}`, {
    connections: maxConnections,
  });
  resources.defer(() => pool.destroy());
  const app = polka();
  app.post("/v1/chat/completions", (request, response) => {
    void forwardRequest(request, response, pool);
  });
  const server = await startServer("127.0.0.1:0", (request, response) => {
    app.handler(request as polka.Request, response);
  });
  resources.use(server);
  return server.address;
}

async function forwardRequest(
  request: IncomingMessage,
  response: ServerResponse,
  pool: Pool,
): Promise<void> {
  const answer = await pool.request({
    method: "POST",
    path: "/v1/chat/completions",
    headers: { "content-type": "application/json" },
    body: request,
  });
  response.writeHead(answer.statusCode, {
    "content-type": String(answer.headers["content-type"]),
  });
  await pipeline(answer.body, response);
}

async function startFleet(timers: TimerService): Promise<LocalFleet> {
  const fleet = await LocalFleet.create({
    definition: createUnlimited(await loadFleet(fleetFolder)),
    leaveNoticeMs: 0,
    timers,
    createLogger: createSilentLogger,
    useFreePorts: true,
  });
  while (!fleet.routers.every((router) => router.isReady)) {
    await new Promise((resolve) => timers.schedule(readyPollMs, resolve));
  }
  return fleet;
}

/** Removes the limits that would refuse the requests of a measurement. */
function createUnlimited(definition: FleetDefinition): FleetDefinition {
  const { configuration, standIns } = definition;
  const { defaults } = configuration;
  return {
    ...definition,
    standIns: {
      ...standIns,
      ...instantProfile,
      hostListLagMs: 0,
    },
    configuration: {
      ...configuration,
      defaults: {
        ...defaults,
        load: { ...defaults.load, minimumTokens: unlimited },
        workspace: {
          ...defaults.workspace,
          requestsPerSecond: unlimited,
          tokensPerSecond: unlimited,
        },
      },
    },
  };
}
