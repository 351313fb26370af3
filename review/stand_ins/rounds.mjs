/** Rounds of requests, between which nothing is under way. */
import { setTimeout } from "node:timers/promises";
import { Consumer } from "./consumer.mjs";

const deadlineMs = 1500;
const periodMs = 100;

/** Consumers of each gateway, which send one request a round. */
const consumersPerGateway = 6;

/** Sends rounds of requests until it is ended. */
export function sendRounds({ gateways, method, path, record }) {
  const consumers = gateways.flatMap((gateway) =>
    Array.from(
      { length: consumersPerGateway },
      () => Consumer.create({ gateway }),
    )
  );
  const sentAtMs = new Map();
  let isOver = false;
  let resolvePause = () => {};
  const sendOne = async (consumer) => {
    const atMs = Date.now();
    const options = { deadlineMs, method, path, record };
    const { attemptId } = await consumer.send(options);
    sentAtMs.set(attemptId, atMs);
  };
  const send = async () => {
    while (!isOver) {
      const period = setTimeout(periodMs);
      await Promise.all(consumers.map(sendOne));
      resolvePause();
      await period;
    }
    for (const consumer of consumers) consumer.close();
  };
  const ended = send();
  return {
    /** Times at which requests were sent, by id. */
    sentAtMs,
    /** Waits for the end of a round. */
    awaitPause: () => new Promise((resolve) => resolvePause = resolve),
    end: async () => {
      isOver = true;
      await ended;
    },
  };
}

/** Finds the requests that ran at a runner that had left too long before. */
export function findLateRuns({ drainMs, leaver, leftAtMs, rounds }) {
  return leaver.runs
    .map(({ attemptId }) => ({
      attemptId,
      afterMs: rounds.sentAtMs.get(attemptId) - leftAtMs,
    }))
    .filter(({ afterMs }) => afterMs > drainMs)
    .map(({ afterMs, attemptId }) =>
      `DRAIN: ${attemptId} was sent ${afterMs} ms after its runner had left ` +
      "and ran there"
    );
}
