/** Program `measure-lookups`. */
import process from "node:process";
import { fileURLToPath } from "node:url";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import { Metrics } from "@jasminetide/runtime/metrics";
import { command, number, option, run } from "cmd-ts";
import { Pool } from "undici";
import { v7 as createKey } from "uuid";
import { loadFleet } from "../load_fleet.ts";
import { LocalFleet } from "../local_fleet.ts";

const localFolder = fileURLToPath(
  new URL("../../../../examples/local", import.meta.url),
);
const timers = RealTimerService.create();
const metrics = Metrics.create();
const callerCount = 4;
const refundGapMs = 10;
const readyPollMs = 20;
const warmUpLookups = 500;
const microsecondsPerMs = 1000;

const program = command({
  name: "measure-lookups",
  description: "Compares lookups with and without a platform outage.",
  args: {
    lookups: option({
      type: number,
      long: "lookups",
      description: "Lookups per block",
      defaultValue: () => 3000,
    }),
    blocks: option({
      type: number,
      long: "blocks",
      description: "Blocks of each kind, which alternate",
      defaultValue: () => 4,
    }),
  },
  handler: measure,
});

async function measure(
  options: { lookups: number; blocks: number },
): Promise<void> {
  await using fleet = await startFleet();
  const { callerAddress } = fleet.routers[0];
  const router = new Pool(`http://${callerAddress}`, { connections: 64 });
  const refunds = timers.subscribe(refundGapMs, () => void sendRefund(router));
  await runBlock(router, "warm-up", warmUpLookups);
  for (let block = 0; block < options.blocks; block++) {
    fleet.objects.faults.outage = false;
    await runBlock(router, "normal", options.lookups);
    fleet.objects.faults.outage = true;
    await runBlock(router, "outage", options.lookups);
  }
  fleet.objects.faults.outage = false;
  refunds[Symbol.dispose]();
  await router.close();
  console.log(JSON.stringify({ ...options, ...createReport() }));
}

async function startFleet(): Promise<LocalFleet> {
  const fleet = await LocalFleet.create({
    definition: await loadFleet(localFolder),
    leaveNoticeMs: 0,
    timers,
    createLogger: createSilentLogger,
    useFreePorts: true,
  });
  while (!fleet.routers.every((router) => router.isReady)) {
    await new Promise<void>((resolve) => {
      timers.schedule(readyPollMs, () => resolve());
    });
  }
  return fleet;
}

async function sendRefund(router: Pool): Promise<void> {
  const answer = await router.request({
    method: "POST",
    path: "/deposit-ledger/refunds",
    headers: {
      authorization: "Bearer local-key",
      "idempotency-key": createKey(),
    },
    body: JSON.stringify({ account: "a1", amount: 1 }),
  });
  await answer.body.dump();
  metrics.count(`refund-${answer.statusCode}`);
}

async function runBlock(
  router: Pool,
  name: string,
  lookups: number,
): Promise<void> {
  const runCaller = async () => {
    for (let count = 0; count < lookups / callerCount; count++) {
      await requestBalance(router, name);
    }
  };
  await Promise.all(Array.from({ length: callerCount }, runCaller));
}

async function requestBalance(router: Pool, name: string): Promise<void> {
  const startedAtMs = timers.nowMs();
  const answer = await router.request({
    method: "GET",
    path: "/deposit-ledger/balances/a1",
    headers: { authorization: "Bearer local-key" },
  });
  await answer.body.dump();
  if (answer.statusCode !== 200) metrics.count(`${name}-failed`);
  const durationMs = timers.nowMs() - startedAtMs;
  metrics.record(`${name}-us`, durationMs * microsecondsPerMs);
}

function createReport() {
  const { counters } = metrics.getSnapshot();
  const getMs = (name: string, quantile: number) =>
    (metrics.getQuantile(`${name}-us`, quantile) ?? 0) / microsecondsPerMs;
  return {
    normalMs: { p50: getMs("normal", 0.5), p99: getMs("normal", 0.99) },
    outageMs: { p50: getMs("outage", 0.5), p99: getMs("outage", 0.99) },
    p99Ratio: getMs("outage", 0.99) / getMs("normal", 0.99),
    counters,
  };
}

await run(program, process.argv.slice(2));
