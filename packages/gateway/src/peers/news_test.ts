import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { createSeededRandom } from "@jasminetide/core/random";
import { VirtualTimerService } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import { Confirmation } from "../following/confirmation.ts";
import {
  createDeclaration,
  createRunnerRecord,
  testRoutes,
} from "../test_support/mod.ts";
import {
  createNewsHandler,
  getNewsLimits,
  type News,
  NewsFollower,
  type NewsLine,
  type NewsPositions,
  NewsPublisher,
  type NewsSubscription,
  packNews,
  subscribeToNews,
  unpackNews,
} from "./mod.ts";

type World = {
  newsTimers: VirtualTimerService;
  newsFollower: NewsFollower;
  newsAge: Confirmation;
  newsAddresses: string[];
  sendLine: (line: NewsLine) => void;
  breakStream: () => void;
  hasUnusableAddress: boolean;
  senderSuspendedMs: number;
  publisher: NewsPublisher;
  publishedRevision: number;
  isPublisherCurrent: boolean;
  receivedLines: NewsLine[];
  hasStreamEnded: boolean;
  unpacked: News;
  newsServer: Server;
  subscription: NewsSubscription;
};

const maxAgeMs = 2400;

/** Lets promises settle. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await Promise.resolve();
}

Given(
  "a gateway that follows a reader of {int} gateways",
  async function (this: World, count: number) {
    this.newsTimers = VirtualTimerService.create(1000);
    this.newsAge = Confirmation.create(this.newsTimers);
    this.newsAddresses = [];
    this.senderSuspendedMs = 0;
    const gateways = new Map(
      Array.from({ length: count }, (_, index) => [
        `gateway-${index}`,
        { address: `10.0.0.${index}:1`, capacity: 1 },
      ]),
    );
    this.hasUnusableAddress = false;
    const subscribe = (address: string, onLine: (line: NewsLine) => void) => {
      this.newsAddresses.push(address);
      if (this.hasUnusableAddress) throw new RangeError("no such port");
      this.sendLine = onLine;
      let fail: () => void = () => {};
      const ended = new Promise<void>((_, reject) => {
        fail = () => reject(new Error("broken for a test"));
      });
      this.breakStream = fail;
      return { ended, [Symbol.dispose]: fail };
    };
    // One of two gateways follows the other, whichever ranks first.
    for (const [name, { capacity }] of gateways) {
      this.newsFollower?.[Symbol.dispose]();
      this.newsFollower = NewsFollower.create({
        self: { name, capacity },
        timers: this.newsTimers,
        random: createSeededRandom(1),
        logger: createSilentLogger(),
        maxAgeMs,
        getAgeMs: () => this.newsAge.getAgeMs(),
        listGateways: () => gateways,
        subscribe,
        onNews: (_news, ageMs) => this.newsAge.record(ageMs),
        onReadingChange: () => {},
      });
      await settle();
      if (this.newsAddresses.length > 0) break;
    }
    assert.equal(this.newsAddresses.length, 1);
  },
);

After(async function (this: World) {
  this.newsFollower?.[Symbol.dispose]();
  this.publisher?.[Symbol.dispose]();
  this.subscription?.[Symbol.dispose]();
  if (this.newsServer === undefined) return;
  const closed = once(this.newsServer, "close");
  this.newsServer.close();
  this.newsServer.closeAllConnections();
  await closed;
});

function sendAged(world: World, ageMs: number): void {
  const sentAtMs = world.newsTimers.nowMs() - world.senderSuspendedMs;
  world.sendLine({ isCurrent: true, sentAtMs, ageMs, news: {} });
}

When(
  "the reader sends a line of age {int} ms",
  function (this: World, ageMs: number) {
    sendAged(this, ageMs);
  },
);

When(
  "the reader is suspended for {int} ms and then sends a line of age {int} ms",
  function (this: World, suspendedMs: number, ageMs: number) {
    this.senderSuspendedMs += suspendedMs;
    this.newsTimers.advance(500);
    sendAged(this, ageMs);
    this.newsTimers.advance(maxAgeMs);
    sendAged(this, ageMs);
  },
);

When(
  "the gateway is suspended for {int} ms",
  function (this: World, durationMs: number) {
    this.newsTimers.suspend(durationMs);
  },
);

When(
  "{int} ms pass without a line",
  async function (this: World, durationMs: number) {
    this.newsTimers.advance(durationMs);
    await settle();
  },
);

When("its stream breaks", async function (this: World) {
  this.breakStream();
  await settle();
});

When("the reader sends that it is not current", async function (this: World) {
  this.sendLine({ isCurrent: false });
  this.breakStream();
  await settle();
});

Then("the gateway does not read the store", function (this: World) {
  assert.equal(this.newsFollower.isReading, false);
});

Then("the gateway reads the store", function (this: World) {
  assert.equal(this.newsFollower.isReading, true);
});

Then("it has a state of age {int} ms", function (this: World, ageMs: number) {
  assert.equal(this.newsAge.getAgeMs(), ageMs);
});

Then(
  "the gateway subscribes to another gateway or reads the store",
  function (this: World) {
    const [first, second] = this.newsAddresses;
    assert.ok(this.newsFollower.isReading || second !== undefined);
    assert.notEqual(first, second);
  },
);

function createPositions(revision: number): NewsPositions {
  return {
    declarations: { epoch: 1, revision: 1 },
    runners: { epoch: 1, revision },
  };
}

function createPublisher(world: World, revision: number): NewsPublisher {
  world.newsTimers = VirtualTimerService.create(1000);
  world.publishedRevision = revision;
  world.isPublisherCurrent = true;
  world.receivedLines = [];
  return NewsPublisher.create({
    timers: world.newsTimers,
    periodMs: 600,
    isCurrent: () => world.isPublisherCurrent,
    getAgeMs: () => 10,
    selectNews: ({ runners }) => {
      if (runners.revision >= world.publishedRevision) return {};
      const record = createRunnerRecord("r", "127.0.0.1:1");
      const changes = [{ name: "r", value: record }];
      const position = { epoch: 1, revision: world.publishedRevision };
      const keepMissingMs = 0;
      return {
        runners: { position, isWhole: false, changes, keepMissingMs },
      };
    },
  });
}

Given(
  "a publisher with runners of revision {int} and a subscriber of revision {int}",
  function (this: World, revision: number, known: number) {
    this.publisher = createPublisher(this, revision);
    this.publisher.add({
      send: (line) => this.receivedLines.push(JSON.parse(line)) > 0,
      end: () => {
        this.hasStreamEnded = true;
      },
    }, createPositions(known));
  },
);

function getRunnersRevision(line: NewsLine | undefined): number | undefined {
  if (line?.isCurrent !== true) return undefined;
  return unpackNews(line.news).runners?.position.revision;
}

Then(
  "the subscriber has received the runners up to revision {int}",
  function (this: World, revision: number) {
    assert.equal(getRunnersRevision(this.receivedLines.at(-1)), revision);
  },
);

When(
  "the runners change to revision {int}",
  function (this: World, revision: number) {
    this.publishedRevision = revision;
    this.publisher.notify();
    this.newsTimers.advance(100);
  },
);

When(
  "{int} ms pass at the publisher",
  function (this: World, durationMs: number) {
    this.newsTimers.advance(durationMs);
  },
);

Then(
  "the last line to the subscriber has no changes",
  function (this: World) {
    const line = this.receivedLines.at(-1);
    assert.ok(line?.isCurrent);
    assert.deepEqual(line.news, {});
  },
);

When("the publisher's state is too old", function (this: World) {
  this.isPublisherCurrent = false;
  this.newsTimers.advance(600);
});

Then(
  "the subscriber was told so and its stream has ended",
  function (this: World) {
    assert.equal(this.receivedLines.at(-1)?.isCurrent, false);
    assert.equal(this.hasStreamEnded, true);
  },
);

Given("a declaration of {int} routes", function (this: World, count: number) {
  const [route] = testRoutes;
  const routes = Array.from({ length: count }, (_, index) => ({
    ...route,
    name: `route-${index}`,
    pathPrefix: `/path-${index}/`,
  }));
  const value = createDeclaration(1, routes);
  const position = { epoch: 1, revision: 2 };
  const changes = [{ name: "main", value }];
  const keepMissingMs = 0;
  this.unpacked = {
    declarations: { position, isWhole: true, changes, keepMissingMs },
  };
});

Then(
  "its changes are unpacked as they were, from less than a tenth",
  function (this: World) {
    const packed = packNews(this.unpacked);
    const expected = JSON.parse(JSON.stringify(this.unpacked));
    assert.deepEqual(unpackNews(packed), expected);
    const length = JSON.stringify(packed).length;
    assert.ok(length < JSON.stringify(this.unpacked).length / 10);
  },
);

async function startListener(
  world: World,
  handler: RequestListener,
): Promise<string> {
  world.newsServer = createServer(handler);
  world.newsServer.listen(0, "127.0.0.1");
  await once(world.newsServer, "listening");
  const { port } = world.newsServer.address() as AddressInfo;
  return `127.0.0.1:${port}`;
}

let listenerAddress = "";

Given(
  "a publisher with runners of revision {int} behind a real listener",
  async function (this: World, revision: number) {
    this.publisher = createPublisher(this, revision);
    const handler = createNewsHandler(this.publisher);
    listenerAddress = await startListener(this, handler);
  },
);

When(
  "a gateway with runners of revision {int} subscribes",
  async function (this: World, revision: number) {
    await new Promise<void>((resolve) => {
      this.subscription = subscribeToNews({
        address: listenerAddress,
        positions: createPositions(revision),
        silenceMs: 5000,
        onLine: (line) => {
          this.receivedLines.push(line);
          resolve();
        },
      });
      this.subscription.ended.catch(() => {});
    });
  },
);

Then(
  "it receives the runners up to revision {int}",
  function (this: World, revision: number) {
    assert.equal(getRunnersRevision(this.receivedLines[0]), revision);
  },
);

const faultyAnswers: Record<string, RequestListener> = {
  "a line without end": (_request, response) => {
    const part = "a".repeat(1024 * 1024);
    const send = () => {
      while (!response.destroyed && response.write(part));
    };
    response.on("drain", send);
    send();
  },
  "no JSON": (_request, response) => response.write("<html>\n"),
  "silence": () => {},
};

Given(
  /^a listener that answers a subscription with (.+)$/,
  async function (this: World, answer: string) {
    listenerAddress = await startListener(this, faultyAnswers[answer]);
  },
);

Then("the subscription fails", async function (this: World) {
  const timers = RealTimerService.create();
  const startMs = timers.nowMs();
  const subscription = subscribeToNews({
    address: listenerAddress,
    positions: createPositions(1),
    silenceMs: 300,
    onLine: () => {},
  });
  await assert.rejects(subscription.ended);
  assert.ok(timers.nowMs() >= startMs);
});

When(
  "its stream breaks and the records of all others have no usable address",
  async function (this: World) {
    this.hasUnusableAddress = true;
    this.breakStream();
    for (let round = 0; round < 20; round++) {
      await settle();
      this.newsTimers.advance(100);
    }
    await settle();
  },
);

Then(
  "with limits of {int}, {int} and {int} ms its state is too old after {int} ms",
  function (
    leavingLimitMs: number,
    declarationLimitMs: number,
    evacuationLimitMs: number,
    maxAgeMs: number,
  ) {
    const limits = { leavingLimitMs, declarationLimitMs, evacuationLimitMs };
    assert.equal(getNewsLimits(limits).maxAgeMs, maxAgeMs);
  },
);
