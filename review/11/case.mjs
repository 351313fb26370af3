/**
 * The gateway that reads the store for seven others loses its path to the store
 * for a moment, while a runner leaves without reporting that it drains.
 */
import { Agent, createServer } from "node:http";
import {
  createDesiredState,
  createEntry,
  createRoute,
  getDump,
  hasTrouble,
  Link,
  runCase,
  sendRequest,
  sleep,
} from "../lib-3/fleet.mjs";

/** Time within which nothing more may reach a runner that is gone. */
const drainMs = 2000;

/** Time for which the runner serves beyond it before it exits. */
const lingerMs = 300;

/** Work of a payout, and slots of a runner. */
const workMs = 64;
const slots = 6;

const gatewayCount = 8;
const cutMs = 200;
const periodMs = 100;

/** Starts a runner; `onRun` gets the id of each request that it begins. */
function startRunner(id, onRun) {
  let running = 0;
  const server = createServer((request, response) => {
    request.resume();
    const attemptId = request.headers["attempt-id"];
    const headers = {
      "Attempt-Id": attemptId,
      "Instance-Load": `${running},0,${slots}`,
    };
    if (request.headers["target-instance"] !== id || running >= slots) {
      const status = running >= slots ? 503 : 421;
      response.writeHead(status, { ...headers, "Not-Executed": "1" }).end();
      return;
    }
    running += 1;
    onRun(attemptId);
    setTimeout(() => {
      running -= 1;
      const seal = `s.${attemptId}`;
      response.writeHead(200, { ...headers, "Server-Seal": seal }).end("{}");
    }, workMs);
  });
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve(server))
  );
}

function stop(server) {
  server.close();
  server.closeAllConnections();
}

async function findReader({ gateways }, record) {
  for (const gateway of gateways) {
    const { fleet: { readerRole } } = await getDump(gateway);
    if (readerRole !== "reader") continue;
    record.add(`${gateway.name} reads the store for the others`);
    return gateway;
  }
  throw new Error("no gateway reads the store for others");
}

await runCase(async ({ fleet, record, store }) => {
  const runs = [];
  const leaving = await startRunner("i-x", (id) => {
    runs.push({ id, atMs: Date.now() });
  });
  const staying = [];
  for (const id of ["i-y", "i-z"]) {
    staying.push(await startRunner(id, () => {}));
  }
  store.put(
    "config",
    "main",
    createDesiredState(3, [
      createRoute({
        Name: "payout",
        PathPrefix: "/payout/",
        Service: "ledger",
        TimeoutMs: 1500,
      }),
    ]),
  );
  store.put("servers", "i-x", createEntry("ledger", leaving.address().port));
  store.put("servers", "i-y", createEntry("ledger", staying[0].address().port));
  store.put("servers", "i-z", createEntry("ledger", staying[1].address().port));
  const links = new Map();
  for (let index = 1; index <= gatewayCount; index += 1) {
    const link = await Link.open(await store.open());
    const storeAddress = link.address;
    const gateway = await fleet.start(`edge-${index}`, { storeAddress });
    links.set(gateway, link);
  }
  for (const gateway of fleet.gateways) await fleet.waitUntilReady(gateway);
  await sleep(5000);
  const reader = await findReader(fleet, record);

  const calls = new Map();
  let isSending = true;
  const sendTo = async (gateway, index) => {
    const agent = new Agent({ keepAlive: true });
    await sleep(index * periodMs / gatewayCount);
    for (let count = 1; isSending; count += 1) {
      const id = `${gateway.name}-${count}`;
      const call = { sentAtMs: Date.now(), status: undefined };
      calls.set(id, call);
      void sendRequest(gateway.ports.callers, agent, {
        method: "POST",
        path: "/payout/1",
        body: "{}",
        headers: { "Attempt-Id": id, "Deadline-Ms": "1500" },
      }).then(({ status }) => call.status = status);
      await sleep(periodMs);
    }
    await sleep(2000);
    agent.destroy();
  };
  const senders = fleet.gateways
    .filter((gateway) => gateway !== reader)
    .map((gateway, index) => sendTo(gateway, index));
  // In touch: nothing was disturbed for longer than ContactMs.
  await sleep(4000);
  if (hasTrouble) {
    record.add(`${reader.name} loses its path to the store`);
    links.get(reader).cut();
  }
  await sleep(50);
  store.remove("servers", "i-x");
  const goneAtMs = Date.now();
  record.add("the store removes i-x, which leaves");
  await sleep(cutMs - 50);
  if (hasTrouble) await links.get(reader).heal();
  record.add("the path is back");
  await sleep(goneAtMs + drainMs + lingerMs - Date.now());
  stop(leaving);
  record.add("i-x exits");
  await sleep(1000);
  isSending = false;
  await Promise.all(senders);
  for (const server of staying) stop(server);
  for (const link of links.values()) link.close();

  const late = runs.filter(({ atMs }) => atMs > goneAtMs + drainMs);
  for (const { atMs, id } of late) {
    const { sentAtMs, status } = calls.get(id);
    record.add(
      `i-x begins ${id} ${atMs - goneAtMs} ms after its removal; sent at ` +
        `${sentAtMs - goneAtMs} ms, answered ${status}`,
    );
  }
  const lost = late.filter(({ id }) => calls.get(id).status !== 200);
  record.add(
    `i-x began ${runs.length} of ${calls.size} payouts, ${late.length} of ` +
      `them too late; ${lost.length} of these ran and were not answered 200`,
  );
  return late.map(({ id }) => `DRAIN: ${id}`);
});
