/** A small deployment: four gateways that reach the store through proxies. */
import { createConfig } from "./client.mjs";
import { Gateway } from "./gateway.mjs";
import { Proxy } from "./proxy.mjs";
import { Runner, wait } from "./runner.mjs";
import { Store } from "./store.mjs";

const gatewayNames = ["edge-1", "edge-2", "edge-3", "edge-4"];
const runnerIds = ["i-1", "i-2", "i-3", "i-4"];

/** `HeartbeatMs`, `ContactMs`, `ConfigApplyMs` and `DrainMs` of the sites. */
export const bounds = {
  heartbeatMs: 1200,
  contactMs: 3000,
  configApplyMs: 2000,
  drainMs: 2000,
};

/** Starts the store, the runners and the gateways. */
export async function startFleet({ atEnd, workMs }) {
  const store = new Store();
  const storePort = await store.listen();
  atEnd(() => store.close());
  store.put("config", "main", createConfig(1));
  const runners = [];
  for (const id of runnerIds) {
    const runner = new Runner({ id, service: "ledger", slots: 60, workMs });
    await runner.listen();
    runners.push(runner);
    store.put("servers", id, runner.entry());
    startHeartbeats(store, runner);
    atEnd(() => {
      clearInterval(runner.heartbeats);
      runner.exit();
    });
    await wait(bounds.heartbeatMs / runnerIds.length);
  }
  const proxies = [];
  const gateways = [];
  for (const name of gatewayNames) {
    const proxy = new Proxy(storePort);
    proxies.push(proxy);
    atEnd(() => proxy.close());
    const port = await proxy.listen();
    const gateway = await Gateway.start({ name, storePort: port });
    gateways.push(gateway);
    atEnd(() => gateway.stop());
  }
  return { store, runners, proxies, gateways };
}

/** Lets a runner write its entry every `HeartbeatMs`. */
function startHeartbeats(store, runner) {
  let sequence = 1;
  runner.heartbeats = setInterval(() => {
    sequence += 1;
    store.put("servers", runner.id, { ...runner.entry(), Seq: sequence });
  }, bounds.heartbeatMs);
}
