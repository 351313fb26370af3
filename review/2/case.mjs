/**
 * One engine in trouble answers one request for a stream with bytes without end
 * in the body: chunks of one byte, never the end of an event. The runners of the
 * other service are sound.
 */
import { setTimeout } from "node:timers/promises";
import { createConfig, runCase } from "../stand_ins/case.mjs";
import { Consumer } from "../stand_ins/consumer.mjs";
import { Runner } from "../stand_ins/runner.mjs";
import { createTroubledEngine } from "../stand_ins/troubled_engine.mjs";

/** Work of a run. */
const workMs = 15;

/** Time limits of the route and of the consumers. */
const timeoutMs = 800;
const deadlineMs = 1500;

/** Time after the route's limit within which an answer has to come. */
const slackMs = 500;

const consumers = 8;
const sendPeriodMs = 100;

/** A stream's consumer leaves after four times the objective without event. */
const streamGoalMs = 800;
const streamPatienceMs = 4 * streamGoalMs;

await runCase({
  caseUrl: import.meta.url,
  play: async ({ hasTrouble, record, startGateway, store }) => {
    store.put(
      "config",
      "main",
      createConfig([{
        Name: "balance-lookup",
        PathPrefix: "/lookups/",
        RouteKind: "idempotent",
        TimeoutMs: timeoutMs,
        GoalMs: 120,
        MaxAttempts: 2,
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
        response.writeHead(200, headers).end("balance")
      );
    const options = { record, run, slots: 6, store, zone: "zone-a" };
    for (let index = 0; index < 3; index += 1) {
      await Runner.create({ ...options, service: "ledger" });
    }
    if (hasTrouble) {
      await createTroubledEngine({ record, status: 200, store });
    } else await Runner.create({ ...options, service: "pool" });

    const gateway = await startGateway("edge-zone-a-1");
    await setTimeout(1000);
    const answers = [];
    let isOver = false;
    const sendLookups = async () => {
      const consumer = Consumer.create({ gateway });
      while (!isOver) {
        const sentAtMs = Date.now();
        const path = "/lookups/1";
        const { status } = await consumer.send({ deadlineMs, path, record });
        answers.push({ sentAtMs, status, tookMs: Date.now() - sentAtMs });
        await setTimeout(sendPeriodMs);
      }
      consumer.close();
    };
    const lookups = Array.from({ length: consumers }, sendLookups);
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
    await setTimeout(8000);
    isOver = true;
    await Promise.all(lookups);
    const late = answers.filter(({ tookMs }) => tookMs >= timeoutMs);
    const unanswered = late.filter(({ status, tookMs }) =>
      status === 0 || tookMs > timeoutMs + slackMs
    );
    record({
      event: "counted",
      lookups: answers.length,
      unansweredAtTimeout: late.length,
      unansweredLater: unanswered.length,
    });
    return unanswered.length > late.length / 2
      ? [
        `CONFIG: of ${late.length} lookups at sound runners that were ` +
        `unanswered after ${timeoutMs} ms, ${unanswered.length} had no answer ` +
        `${slackMs} ms later`,
      ]
      : [];
  },
});
