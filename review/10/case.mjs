/** A key is withdrawn just after the open channels to the store fell silent. */
import { hasTrouble, runCase } from "../lib-2/case.mjs";
import { Client, createConfig } from "../lib-2/client.mjs";
import { wait } from "../lib-2/runner.mjs";
import { bounds, startFleet } from "../lib-2/small_fleet.mjs";

/** From the start of the last gateway to the silence. */
const settleMs = 4000;

/** From the silence to the withdrawal of the key. */
const revokeAfterMs = 50;

const requestPeriodMs = 25;
const observedMs = 6000;

/** Rounds, each with new processes; the rule must hold in all of them. */
const rounds = 3;

await runCase(import.meta.url, async (log, atEnd) => {
  let broken = 0;
  for (let round = 1; round <= rounds; round += 1) {
    log(`round ${round}`);
    const ends = [];
    const endAll = async () => {
      while (ends.length > 0) await ends.pop()();
    };
    atEnd(endAll);
    broken += await playRound(log, (end) => ends.push(end));
    await endAll();
  }
  log(`payouts with the withdrawn key run after the bound: ${broken}`);
  return broken > 0;
});

/** Returns how many payouts ran that should have been refused. */
async function playRound(log, atEnd) {
  const { gateways, proxies, runners, store } = await startFleet({
    atEnd,
    workMs: 20,
  });
  await wait(settleMs);

  const silentAtMs = performance.now();
  log(`channels to the store: ${proxies.map(({ open }) => open).join(" ")}`);
  if (hasTrouble) {
    for (const proxy of proxies) proxy.silence();
    log("they fall silent; new ones work");
  }
  await wait(revokeAfterMs);
  const tenants = [{ Name: "tenant-one", ApiKeys: ["key-two"] }];
  store.put("config", "main", createConfig(2, { Tenants: tenants }));
  const acknowledgedAtMs = performance.now();
  log("version 2, without key-one, is acknowledged");

  const sent = gateways.map(() => []);
  const clients = gateways.map(({ ports }) => new Client(ports.callers));
  while (performance.now() < acknowledgedAtMs + observedMs) {
    clients.forEach((client, index) =>
      sent[index].push(client.send({ path: "/pay/1", body: "with key-one" }))
    );
    await wait(requestPeriodMs);
  }
  const ran = new Set(
    runners.flatMap((runner) => runner.ran.map(({ attemptId }) => attemptId)),
  );
  const boundMs = Math.max(
    acknowledgedAtMs + bounds.configApplyMs,
    silentAtMs + bounds.contactMs,
  );
  let broken = 0;
  for (const [index, { name }] of gateways.entries()) {
    const answers = await Promise.all(sent[index]);
    const old = answers.filter(({ attemptId }) => ran.has(attemptId));
    const late = old.filter(({ sentAtMs }) => sentAtMs > boundMs);
    const last = Math.max(...old.map(({ sentAtMs }) => sentAtMs));
    broken += late.length;
    log(
      `${name}: ${answers.length} payouts with key-one, ${old.length} run; ` +
        `the last sent ${
          old.length > 0 ? Math.round(last - acknowledgedAtMs) : "-"
        } ms after the ` +
        `acknowledgement; ${late.length} run after the bound`,
    );
  }
  log(
    `bound: ${Math.round(boundMs - acknowledgedAtMs)} ms after the ` +
      `acknowledgement; payouts with the withdrawn key run after it: ${broken}`,
  );
  return broken;
}
