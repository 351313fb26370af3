import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { createSeededRandom } from "@jasminetide/core/random";
import { VirtualTimerService, wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import {
  createDeclaration,
  createRunnerRecord,
  startTestGateway,
  type TestGateway,
} from "../test_support/mod.ts";
import {
  askPeer,
  createPeerHandler,
  type GatewayState,
  PeerFollower,
} from "./mod.ts";

type World = {
  peerServer: Server;
  /** Time that news of the other gateway takes to pass. */
  newsMs: number;
  peerState: GatewayState | undefined;
  peerTimers: VirtualTimerService;
  peerFollower: PeerFollower;
  questions: Promise<unknown>[];
  news: Partial<GatewayState>[];
  seed: TestGateway;
  starting: TestGateway;
};

Given(
  "another gateway that has declaration {int} and the runners of revision {int}",
  async function (this: World, version: number, revision: number) {
    this.peerState = {
      declaration: createDeclaration(version),
      revision,
      runners: [createRunnerRecord("r", "127.0.0.1:1")],
    };
    const handle = createPeerHandler({
      getState: () => this.peerState,
      explainRequest: () => ({ version: 0, key: "notNeeded", services: [] }),
    });
    this.peerServer = createServer((request, response) => {
      if (this.newsMs > 0) slowDown(response, this.newsMs);
      handle(request, response);
    });
    this.newsMs = 0;
    this.peerServer.listen(0, "127.0.0.1");
    await once(this.peerServer, "listening");
  },
);

/** Lets a body pass in equal parts, as over a link that is nearly full. */
function slowDown(response: ServerResponse, durationMs: number): void {
  const parts = 4;
  const timers = RealTimerService.create();
  const write = response.write.bind(response) as (text: string) => boolean;
  const end = response.end.bind(response);
  let text = "";
  response.write = (chunk: Uint8Array) => {
    text += Buffer.from(chunk).toString();
    return true;
  };
  response.end = () => {
    void sendParts();
    return response;
  };
  const sendParts = async () => {
    const size = Math.ceil(text.length / parts);
    response.flushHeaders();
    for (let part = 0; part < parts; part++) {
      await wait(timers, durationMs / parts);
      write(text.slice(part * size, (part + 1) * size));
    }
    end();
  };
}

Given("news that takes {int} ms to pass", function (this: World, ms: number) {
  this.newsMs = ms;
});

After(async function (this: World) {
  this.peerFollower?.[Symbol.dispose]();
  if (this.peerServer === undefined) return;
  const closed = once(this.peerServer, "close");
  this.peerServer.close();
  this.peerServer.closeAllConnections();
  await closed;
});

Given("the other gateway has lost its store too", function (this: World) {
  this.peerState = undefined;
});

Given(
  /^this gateway has declaration (\d+), revision (\d+) and (no|a) store$/,
  function (this: World, version: string, revision: string, store: string) {
    const { port } = this.peerServer.address() as AddressInfo;
    this.peerTimers = VirtualTimerService.create();
    this.questions = [];
    this.news = [];
    this.peerFollower = PeerFollower.create({
      timers: this.peerTimers,
      random: createSeededRandom(3),
      logger: createSilentLogger(),
      isConnected: () => store === "a",
      getKnown: () => ({
        version: Number(version),
        revision: Number(revision),
      }),
      listPeers: () => [`127.0.0.1:${port}`],
      ask: (address, known) => {
        const answer = askPeer(address, known);
        this.questions.push(answer);
        return answer;
      },
      onNews: (news) => this.news.push(news),
    });
  },
);

When("{int} ms go by", async function (this: World, durationMs: number) {
  this.peerTimers.advance(durationMs);
  await Promise.all(this.questions);
  // The follower takes an answer in one turn after it has come.
  await new Promise((resolve) => setImmediate(resolve));
});

Then(
  "it has learnt declaration {int} and the runners of revision {int}",
  function (this: World, version: number, revision: number) {
    assert.equal(this.news.length, 1);
    assert.equal(this.news[0].declaration?.version, version);
    assert.equal(this.news[0].revision, revision);
    assert.equal(this.news[0].runners?.length, 1);
  },
);

Then("it has learnt nothing", function (this: World) {
  assert.equal(this.news.length, 0);
});

Given(
  "a gateway that has declaration {int} and a runner",
  async function (this: World, version: number) {
    this.seed = await startTestGateway();
    this.seed.declarations.put("main", createDeclaration(version));
    this.seed.runners.put("r", createRunnerRecord("r", "127.0.0.1:1"));
    await waitUntilReady(this.seed);
  },
);

async function waitUntilReady({ gateway }: TestGateway): Promise<void> {
  while (!gateway.isReady || gateway.runnerCount === 0) {
    await wait(RealTimerService.create(), 1);
  }
}

When(
  "another one starts with that one as seed and no store",
  async function (this: World) {
    this.starting = await startTestGateway({
      seedAddresses: [this.seed.gateway.peerAddress],
      isStoreAway: true,
    });
  },
);

Then(
  "it becomes ready with declaration {int}",
  async function (this: World, version: number) {
    await waitUntilReady(this.starting);
    assert.equal(this.starting.gateway.declarationVersion, version);
  },
);

After(async function (this: World) {
  await this.seed?.gateway[Symbol.asyncDispose]();
  await this.starting?.gateway[Symbol.asyncDispose]();
});
