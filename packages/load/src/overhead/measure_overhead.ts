import { AppError } from "@jasminetide/core/results";
import { build, type Histogram } from "hdr-histogram-js";
import { Pool } from "undici";
import { type PathName, pathNames, type Paths } from "./paths.ts";

/** Numbers of requests to send. */
export type OverheadOptions = {
  /** Sequential requests on each path. */
  latencyRequests: number;
  /** Concurrent requests on each path. */
  throughputRequests: number;
  /** Concurrent requests that are in flight at a time. */
  concurrency: number;
  getNowMs: () => number;
};

/** Latency and throughput of one path. */
export type PathFigures = {
  p50Ms: number;
  p99Ms: number;
  requestsPerSecond: number;
};

/** Figures of all paths and the overhead of the fleet. */
export type OverheadReport = {
  paths: { [Name in PathName]: PathFigures };
  addedP50Ms: number;
  addedP99Ms: number;
  /** Requests per second through one router, divided by the pass-through's. */
  throughputRatio: number;
};

const microsecondsPerMs = 1000;

/** Sequential requests on one path before switching to the next path. */
const blockRequests = 50;

const warmUpRequests = 300;

const body = JSON.stringify({
  model: "assistant",
  messages: [{ role: "user", content: "Which sign comes next?" }],
  max_tokens: 8,
});

/**
 * Measures all paths alternately, so that changes of the machine's load affect
 * each path alike.
 */
export async function measureOverhead(
  paths: Paths,
  options: OverheadOptions,
): Promise<OverheadReport> {
  const clients = pathNames.map((name) => createClient(name, paths, options));
  try {
    for (const client of clients) {
      await sendAtOnce(client, { ...options, count: warmUpRequests });
    }
    await measureLatency(clients, options);
    await measureThroughput(clients, options);
    return createReport(clients);
  } finally {
    await Promise.all(clients.map((client) => client.pool.destroy()));
  }
}

type PathClient = {
  name: PathName;
  pool: Pool;
  latency: Histogram;
  busyMs: number;
  requests: number;
};

function createClient(
  name: PathName,
  paths: Paths,
  options: OverheadOptions,
): PathClient {
  return {
    name,
    pool: new Pool(`http://${paths.addresses[name]}`, {
      connections: options.concurrency,
    }),
    latency: build({ numberOfSignificantValueDigits: 3 }),
    busyMs: 0,
    requests: 0,
  };
}

async function measureLatency(
  clients: readonly PathClient[],
  options: OverheadOptions,
): Promise<void> {
  const blocks = Math.ceil(options.latencyRequests / blockRequests);
  for (let block = 0; block < blocks; block += 1) {
    for (const client of clients) {
      for (let index = 0; index < blockRequests; index += 1) {
        const startedAtMs = options.getNowMs();
        await sendChat(client);
        const durationMs = options.getNowMs() - startedAtMs;
        client.latency.recordValue(Math.round(durationMs * microsecondsPerMs));
      }
    }
  }
}

const throughputRounds = 4;

async function measureThroughput(
  clients: readonly PathClient[],
  options: OverheadOptions,
): Promise<void> {
  const count = Math.ceil(options.throughputRequests / throughputRounds);
  for (let round = 0; round < throughputRounds; round += 1) {
    for (const client of clients) {
      const startedAtMs = options.getNowMs();
      await sendAtOnce(client, { ...options, count });
      client.busyMs += options.getNowMs() - startedAtMs;
      client.requests += count;
    }
  }
}

/** Sends `count` requests, `concurrency` at a time. */
async function sendAtOnce(
  client: PathClient,
  options: { count: number; concurrency: number },
): Promise<void> {
  let remaining = options.count;
  await Promise.all(
    Array.from({ length: options.concurrency }, async () => {
      while (remaining > 0) {
        remaining -= 1;
        await sendChat(client);
      }
    }),
  );
}

async function sendChat(client: PathClient): Promise<void> {
  const answer = await client.pool.request({
    method: "POST",
    path: "/v1/chat/completions",
    headers: {
      "authorization": "Bearer local-key",
      "content-type": "application/json",
    },
    body,
  });
  const text = await answer.body.text();
  if (answer.statusCode === 200) return;
  throw AppError.create(
    "runnerFailed",
    `Path ${client.name} answered ${answer.statusCode}: ${text}`,
  );
}

function createReport(clients: readonly PathClient[]): OverheadReport {
  const paths = Object.fromEntries(
    clients.map((client) => [client.name, createFigures(client)]),
  ) as OverheadReport["paths"];
  const { direct, fleet } = paths;
  return {
    paths,
    addedP50Ms: fleet.p50Ms - direct.p50Ms,
    addedP99Ms: fleet.p99Ms - direct.p99Ms,
    throughputRatio: fleet.requestsPerSecond /
      paths["pass-through"].requestsPerSecond,
  };
}

function createFigures(client: PathClient): PathFigures {
  const { latency, requests, busyMs } = client;
  return {
    p50Ms: latency.getValueAtPercentile(50) / microsecondsPerMs,
    p99Ms: latency.getValueAtPercentile(99) / microsecondsPerMs,
    requestsPerSecond: requests * 1000 / busyMs,
  };
}

/** Formats a report as text. */
export function formatOverhead(report: OverheadReport): string {
  const rows = pathNames.map((name) => {
    const { p50Ms, p99Ms, requestsPerSecond } = report.paths[name];
    return name.padEnd(14) + p50Ms.toFixed(2).padStart(9) +
      p99Ms.toFixed(2).padStart(9) + requestsPerSecond.toFixed(0).padStart(12);
  });
  return [
    `${"path".padEnd(14)}   p50 ms   p99 ms  requests/s`,
    ...rows,
    "",
    `Added latency: p50 ${report.addedP50Ms.toFixed(2)} ms, ` +
    `p99 ${report.addedP99Ms.toFixed(2)} ms`,
    `Requests per second: ${report.throughputRatio.toFixed(2)} of a bare ` +
    "pass-through, with router, sidecar and engine on one event loop",
  ].join("\n");
}
