/**
 * A few callers send bodies in very small chunks and stop just short of the end;
 * ordinary callers open new channels meanwhile.
 */
import { Agent, createServer } from "node:http";
import { connect } from "node:net";
import {
  createDesiredState,
  createEntry,
  createRoute,
  hasTrouble,
  runCase,
  sendRequest,
  sleep,
} from "../lib-3/fleet.mjs";

/** Time limit of the route, and the half second that the rule allows beyond it. */
const timeoutMs = 1500;
const allowedMs = timeoutMs + 500;

/** Callers that we do not control: their number and what each sends. */
const crowdSize = 5;
const chunksPerBody = 600_000;
const bytesPerSecond = 1_000_000;

/** Ordinary callers: one new channel each period. */
const periodMs = 100;
const calmMs = 3000;
const afterMs = 6000;

const chunksPerPiece = 2_000;
const piece = Buffer.from("1\r\nx\r\n".repeat(chunksPerPiece));

/** Sends a body in chunks of one byte, without its last chunk, and stays open. */
async function sendSmallChunks(port, id, record) {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  socket.on(
    "data",
    (bytes) =>
      record.add(`${id} got ${JSON.stringify(String(bytes).slice(0, 40))}`),
  );
  socket.write(
    "POST /upload/1 HTTP/1.1\r\nHost: shop.example\r\n" +
      `Attempt-Id: ${id}\r\nKey: key-a\r\nDeadline-Ms: 15000\r\n` +
      "Transfer-Encoding: chunked\r\n\r\n",
  );
  for (let sent = 0; sent < chunksPerBody; sent += chunksPerPiece) {
    if (socket.destroyed) break;
    if (!socket.write(piece)) {
      await new Promise((resolve) => {
        socket.once("drain", resolve);
        socket.once("close", resolve);
      });
    }
    await sleep(piece.length / bytesPerSecond * 1000);
  }
  record.add(`${id} has sent all but the end of its body`);
  return socket;
}

function startRunner(record) {
  const server = createServer((request, response) => {
    request.resume();
    const id = request.headers["attempt-id"];
    record.add(`runner runs ${id}`);
    setTimeout(() => {
      response.writeHead(200, {
        "Attempt-Id": id,
        "Server-Seal": `s.${id}`,
        "Content-Type": "application/json",
      }).end("{}");
    }, 20);
  });
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve(server))
  );
}

await runCase(async ({ fleet, record, store }) => {
  const runner = await startRunner(record);
  store.put(
    "config",
    "main",
    createDesiredState(3, [
      createRoute({
        Name: "payout",
        PathPrefix: "/payout/",
        Service: "ledger",
        TimeoutMs: timeoutMs,
      }),
      createRoute({
        Name: "upload",
        PathPrefix: "/upload/",
        Service: "ledger",
      }),
    ]),
  );
  const entry = createEntry("ledger", runner.address().port);
  store.put("servers", "i-1", entry);
  const storeAddress = await store.open();
  const gateway = await fleet.start("edge-1", { storeAddress });
  await fleet.waitUntilReady(gateway);
  const { callers: port } = gateway.ports;

  const calls = [];
  const send = () => {
    const id = `call-${calls.length + 1}`;
    const call = { id, sentAtMs: Date.now(), durationMs: undefined };
    calls.push(call);
    const agent = new Agent();
    void sendRequest(port, agent, {
      method: "POST",
      path: "/payout/1",
      body: '{"amount":5}',
      headers: { "Attempt-Id": id, "Deadline-Ms": "15000" },
    }).then(({ status }) => {
      call.durationMs = Date.now() - call.sentAtMs;
      record.add(`${id} answered ${status} after ${call.durationMs} ms`);
      agent.destroy();
    });
  };
  const sending = setInterval(send, periodMs);
  await sleep(calmMs);
  let crowd = [];
  if (hasTrouble) {
    record.add(`${crowdSize} callers begin to send in chunks of one byte`);
    crowd = await Promise.all(
      Array.from(
        { length: crowdSize },
        (_, index) => sendSmallChunks(port, `crowd-${index}`, record),
      ),
    );
  } else await sleep(calmMs);
  await sleep(afterMs);
  clearInterval(sending);
  await sleep(13_000);
  for (const socket of crowd) socket.destroy();
  runner.close();
  runner.closeAllConnections();

  const isOpenAt = ({ durationMs = Infinity }, ms) => durationMs > ms;
  const overdue = calls.filter((call) => isOpenAt(call, timeoutMs));
  const unanswered = overdue.filter((call) => isOpenAt(call, allowedMs));
  record.add(
    `${calls.length} ordinary calls; ${overdue.length} unanswered at ` +
      `${timeoutMs} ms, ${unanswered.length} of these at ${allowedMs} ms`,
  );
  const isBroken = unanswered.length >= 8 &&
    unanswered.length > overdue.length / 2;
  return isBroken
    ? [`CONFIG: ${unanswered.map(({ id }) => id).join(" ")}`]
    : [];
});
