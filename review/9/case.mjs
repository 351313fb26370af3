/** A runner leaves just after the open channels to the store fell silent. */
import { hasTrouble, runCase } from "../lib-2/case.mjs";
import { Client } from "../lib-2/client.mjs";
import { wait } from "../lib-2/runner.mjs";
import { bounds, startFleet } from "../lib-2/small_fleet.mjs";

/** From the start of the last gateway to the silence. */
const settleMs = 4000;

/** From the silence to the removal of the runner's entry. */
const leaveAfterMs = 1000;

/** For this long a runner that leaves serves on: `DrainMs` and a little. */
const serveOnMs = 3500;

/** Time that a payout takes at its runner. */
const workMs = 100;

const requestPeriodMs = 25;
const observedMs = 6000;

await runCase(import.meta.url, async (log, atEnd) => {
  const { gateways, proxies, runners, store } = await startFleet({
    atEnd,
    workMs,
  });
  await wait(settleMs);

  const silentAtMs = performance.now();
  log(`channels to the store: ${proxies.map(({ open }) => open).join(" ")}`);
  if (hasTrouble) {
    for (const proxy of proxies) proxy.silence();
    log("they fall silent; new ones work");
  }
  await wait(leaveAfterMs);
  const [leaving] = runners;
  clearInterval(leaving.heartbeats);
  store.remove("servers", leaving.id);
  const acknowledgedAtMs = performance.now();
  log(`the entry of ${leaving.id} is removed`);
  setTimeout(() => {
    leaving.exit();
    log(`${leaving.id} exits`);
  }, serveOnMs);

  const sent = gateways.map(() => []);
  const clients = gateways.map(({ ports }) => new Client(ports.callers));
  while (performance.now() < acknowledgedAtMs + observedMs) {
    clients.forEach((client, index) =>
      sent[index].push(client.send({ path: "/pay/1", body: "payout" }))
    );
    await wait(requestPeriodMs);
  }
  const arrived = new Set(leaving.ran.map(({ attemptId }) => attemptId));
  const boundMs = Math.max(
    acknowledgedAtMs + bounds.drainMs,
    silentAtMs + bounds.contactMs,
  );
  let broken = 0;
  for (const [index, { name }] of gateways.entries()) {
    const answers = await Promise.all(sent[index]);
    const there = answers.filter(({ attemptId }) => arrived.has(attemptId));
    const late = there.filter(({ sentAtMs }) => sentAtMs > boundMs);
    const unanswered = there.filter(({ status }) => status !== 200);
    const sentMs = there.map(({ sentAtMs }) => sentAtMs - acknowledgedAtMs);
    const last = sentMs.length > 0 ? Math.round(Math.max(...sentMs)) : "-";
    broken += late.length;
    log(
      `${name}: ${answers.length} payouts, ${there.length} reached ` +
        `${leaving.id}, the last sent ${last} ms after the removal; ` +
        `${late.length} were sent after the bound; ${unanswered.length} were ` +
        `cut off by its exit`,
    );
  }
  log(
    `bound: ${Math.round(boundMs - acknowledgedAtMs)} ms after the removal; ` +
      `payouts that reached ${leaving.id} and were sent later: ${broken}`,
  );
  return broken > 0;
});
