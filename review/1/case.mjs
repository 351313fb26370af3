/**
 * One engine in trouble answers one request for a stream with status 500 and
 * bytes without end in the body: chunks of one byte. Payouts go to sound runners
 * of another service meanwhile.
 */
import { setTimeout } from "node:timers/promises";
import { createConfig, runCase } from "../stand_ins/case.mjs";
import { Consumer } from "../stand_ins/consumer.mjs";
import { Runner } from "../stand_ins/runner.mjs";
import { createTroubledEngine } from "../stand_ins/troubled_engine.mjs";

/** Work of a run. */
const workMs = 100;

/** Time limit of the payouts' consumers. */
const deadlineMs = 1500;

/** Longest pause of a consumer between two payouts; drawn anew each time. */
const longestPauseMs = 600;

/** Requests that may be lost. */
const toleratedLosses = 3;

const consumers = 60;

/** A stream's consumer leaves after four times the objective without event. */
const streamGoalMs = 1510;
const streamPatienceMs = 4 * streamGoalMs;

await runCase({
  caseUrl: import.meta.url,
  play: async ({ hasTrouble, record, startGateway, store }) => {
    store.put(
      "config",
      "main",
      createConfig([{
        Name: "refund-payout",
        PathPrefix: "/payouts/",
        RouteKind: "non_idempotent",
        TimeoutMs: 800,
        GoalMs: 120,
        Service: "ledger",
      }, {
        Name: "shift-handover-summary",
        PathPrefix: "/summaries/",
        RouteKind: "streaming",
        TimeoutMs: 12_000,
        GoalMs: streamGoalMs,
        GapGoalMs: 300,
        Resumable: false,
        Sticky: true,
        Service: "pool",
      }]),
    );
    const run = (_request, _body, response, headers) =>
      void setTimeout(workMs).then(() =>
        response.writeHead(200, headers).end("paid")
      );
    const options = { record, run, slots: 6, store, zone: "zone-a" };
    const ledgers = [];
    for (let index = 0; index < 4; index += 1) {
      ledgers.push(await Runner.create({ ...options, service: "ledger" }));
    }
    if (hasTrouble) {
      await createTroubledEngine({ record, status: 500, store });
    } else await Runner.create({ ...options, service: "pool" });

    const gateway = await startGateway("edge-zone-a-1");
    await setTimeout(1000);
    void gateway.ended.then(([code, signal]) =>
      record({ event: "gateway-ended", code, signal })
    );
    const unanswered = [];
    let isOver = false;
    const sendPayouts = async () => {
      const consumer = Consumer.create({ gateway });
      const options = {
        deadlineMs,
        method: "POST",
        path: "/payouts/1",
        record,
      };
      while (!isOver) {
        const { attemptId, hasLeft, status } = await consumer.send(options);
        // The channel has ended by itself; the gateway may be gone.
        if (status === 0 && !hasLeft) {
          unanswered.push(attemptId);
          break;
        }
        await setTimeout(Math.random() * longestPauseMs);
      }
      consumer.close();
    };
    const payouts = Array.from({ length: consumers }, sendPayouts);
    // In touch: nothing has happened for longer than `ContactMs`.
    await setTimeout(4000);
    const other = Consumer.create({ gateway });
    await other.send({
      deadlineMs: 12_000,
      method: "POST",
      path: "/summaries/1",
      patienceMs: streamPatienceMs,
      record,
    });
    other.close();
    await setTimeout(3000);
    isOver = true;
    await Promise.all(payouts);
    const ran = new Set(
      ledgers.flatMap(({ runs }) => runs.map(({ attemptId }) => attemptId)),
    );
    const lost = unanswered.filter((attemptId) => ran.has(attemptId));
    record({ event: "counted", unanswered: unanswered.length, lost });
    return lost.length > toleratedLosses
      ? [
        `LOST: ${lost.length} payouts were passed on to sound runners, and ` +
        "their kept channels ended without an answer",
      ]
      : [];
  },
});
