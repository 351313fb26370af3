/**
 * Streams that arrive at a gateway while it is frozen, and, long after, streams
 * during a planned stop.
 */
import { hasTrouble, runCase } from "../lib-2/case.mjs";
import { Client, createConfig } from "../lib-2/client.mjs";
import { Gateway } from "../lib-2/gateway.mjs";
import { Runner, wait } from "../lib-2/runner.mjs";
import { Store } from "../lib-2/store.mjs";

/** Events of each stream; at most 187 of at most 540 bytes on the sheet. */
const events = 60;
const eventBytes = 500;
const eventPeriodMs = 25;

/** Streams at a time. */
const streams = 12;

/** The freeze; the site file freezes one machine for 4 s. */
const freezeAfterMs = 150;
const freezeMs = 3000;

/** From the end of the freeze to the next request; above `ContactMs`, 3 s. */
const calmMs = 5000;

/** From these requests to the planned stop. */
const stopAfterMs = 500;

const deadlineMs = 15_000;

await runCase(import.meta.url, async (log, atEnd) => {
  const store = new Store();
  const storePort = await store.listen();
  atEnd(() => store.close());
  const config = createConfig(1);
  // Consumers leave a stream after a gap of four times this, 8 s.
  config.Routes.find(({ Name }) => Name === "chat").GoalMs = 2000;
  store.put("config", "main", config);
  const whole = new Map();
  for (const id of ["i-1", "i-2", "i-3"]) {
    const run = (request, _body, response) =>
      stream(request, response, (attemptId) => whole.set(attemptId, id));
    const runner = new Runner({ id, service: "pool", slots: 96, run });
    await runner.listen();
    store.put("servers", id, runner.entry());
  }
  const gateway = await Gateway.start({ name: "edge-1", storePort });
  atEnd(() => gateway.stop());

  const clients = Array.from(
    { length: streams },
    () => new Client(gateway.ports.callers),
  );
  const sendAll = () =>
    clients.map((client) =>
      client.send({
        path: "/chat/1",
        body: "prompt",
        headers: { "Deadline-Ms": deadlineMs },
      })
    );

  const first = sendAll();
  await wait(freezeAfterMs);
  if (hasTrouble) gateway.process.kill("SIGSTOP");
  await wait(freezeMs);
  if (hasTrouble) gateway.process.kill("SIGCONT");
  for (const answer of await Promise.all(first)) {
    log(describe("before", answer, whole));
  }
  await wait(calmMs);

  const second = sendAll();
  await wait(stopAfterMs);
  gateway.process.kill("SIGTERM");
  const stoppedAtMs = performance.now();
  log("SIGTERM");
  const answers = await Promise.all(second);
  let lost = 0;
  for (const answer of answers) {
    log(describe("at the stop", answer, whole));
    const isLost = whole.has(answer.attemptId) && !isComplete(answer) &&
      answer.durationMs < deadlineMs;
    if (isLost) lost += 1;
  }
  const exit = await gateway.exited;
  const exitMs = Math.round(performance.now() - stoppedAtMs);
  log(`gateway ended ${exitMs} ms after SIGTERM, code ${exit.code}`);
  log(
    `streams that their runners sent whole, and whose channels ended ` +
      `without a complete answer before their time limit: ${lost}`,
  );
  return lost > 0;
});

/** Sends the events of a stream, and its end. */
async function stream(request, response, onWhole) {
  const attemptId = request.headers["attempt-id"];
  response.writeHead(200, {
    "Attempt-Id": attemptId,
    "Server-Seal": "seal",
    "Content-Type": "text/event-stream",
    "Keep-Alive": "timeout=20",
  });
  for (let id = 0; id < events; id += 1) {
    if (response.destroyed) return;
    response.write(createEvent(id));
    await wait(eventPeriodMs);
  }
  response.end(() => onWhole(attemptId));
}

function createEvent(id) {
  const head = `id: ${id}\ndata: `;
  return `${head}${"t".repeat(eventBytes - head.length - 2)}\n\n`;
}

function isComplete({ body, isCut, status }) {
  return status === 200 && !isCut && body.length === events * eventBytes;
}

function describe(phase, answer, whole) {
  const { attemptId, body, durationMs, isCut, status } = answer;
  const runner = whole.get(attemptId) ?? "no runner";
  return `${phase}: ${attemptId} status ${status}, ${body?.length ?? 0} bytes` +
    `${isCut ? ", cut" : ""}, after ${Math.round(durationMs)} ms; ` +
    `sent whole by ${runner}`;
}
