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
  RawCaller,
  startTestGateway,
  type TestGateway,
  testHeaders,
} from "../test_support/mod.ts";
import {
  createPeerHandler,
  fetchNewerState,
  type GatewayState,
  PeerPoller,
} from "./mod.ts";

type World = {
  peerServer: Server;
  /** Duration of the other gateway's answers. */
  answerMs: number;
  peerState: GatewayState | undefined;
  peerTimers: VirtualTimerService;
  peerPoller: PeerPoller;
  pendingAnswers: Promise<unknown>[];
  receivedStates: Partial<GatewayState>[];
  seed: TestGateway;
  starting: TestGateway;
};

Given(
  "another gateway that has declaration {int} and the runners of revision {int}",
  async function (this: World, version: number, revision: number) {
    this.peerState = {
      declaration: createDeclaration(version),
      position: { epoch: 1, revision },
      runners: [createRunnerRecord("r", "127.0.0.1:1")],
      keepMissingMs: 0,
    };
    const handle = createPeerHandler({
      getState: () => this.peerState,
      explainRequest: () => ({ version: 0, key: "notNeeded", services: [] }),
      mergeEvidence: () => ({ crashes: [], sound: [] }),
      getEvidence: () => ({ crashes: [], sound: [] }),
      mergeLimits: () => {},
    });
    this.peerServer = createServer((request, response) => {
      if (this.answerMs > 0) sendSlowly(response, this.answerMs);
      handle(request, response);
    });
    this.answerMs = 0;
    this.peerServer.listen(0, "127.0.0.1");
    await once(this.peerServer, "listening");
  },
);

/** Sends a body in equal chunks with pauses, as over a congested link. */
function sendSlowly(response: ServerResponse, durationMs: number): void {
  const chunkCount = 4;
  const timers = RealTimerService.create();
  const write = response.write.bind(response) as (text: string) => boolean;
  const end = response.end.bind(response);
  let text = "";
  response.write = (chunk: Uint8Array) => {
    text += Buffer.from(chunk).toString();
    return true;
  };
  response.end = () => {
    void sendChunks();
    return response;
  };
  const sendChunks = async () => {
    const size = Math.ceil(text.length / chunkCount);
    response.flushHeaders();
    for (let index = 0; index < chunkCount; index++) {
      await wait(timers, durationMs / chunkCount);
      write(text.slice(index * size, (index + 1) * size));
    }
    end();
  };
}

Given(
  "answers that take {int} ms to arrive",
  function (this: World, ms: number) {
    this.answerMs = ms;
  },
);

After(async function (this: World) {
  this.peerPoller?.[Symbol.dispose]();
  if (this.peerServer === undefined) return;
  const closed = once(this.peerServer, "close");
  this.peerServer.close();
  this.peerServer.closeAllConnections();
  await closed;
});

Given(
  "the store does not answer the other gateway either",
  function (this: World) {
    this.peerState = undefined;
  },
);

Given(
  /^this gateway has declaration (\d+), revision (\d+) and (no|a) working store$/,
  function (this: World, version: string, revision: string, store: string) {
    const { port } = this.peerServer.address() as AddressInfo;
    this.peerTimers = VirtualTimerService.create();
    this.pendingAnswers = [];
    this.receivedStates = [];
    this.peerPoller = PeerPoller.create({
      timers: this.peerTimers,
      random: createSeededRandom(3),
      logger: createSilentLogger(),
      isConnected: () => store === "a",
      getVersions: () => ({
        version: Number(version),
        position: { epoch: 1, revision: Number(revision) },
      }),
      listPeers: () => [`127.0.0.1:${port}`],
      fetchState: (address, versions) => {
        const answer = fetchNewerState(address, versions);
        this.pendingAnswers.push(answer);
        return answer;
      },
      onNewerState: (state) => this.receivedStates.push(state),
    });
  },
);

When(
  "{int} ms of polling pass",
  async function (this: World, durationMs: number) {
    this.peerTimers.advance(durationMs);
    await Promise.all(this.pendingAnswers);
    // The poller handles an answer in the turn after its arrival.
    await new Promise((resolve) => setImmediate(resolve));
  },
);

Then(
  "it has received declaration {int} and the runners of revision {int}",
  function (this: World, version: number, revision: number) {
    assert.equal(this.receivedStates.length, 1);
    assert.equal(this.receivedStates[0].declaration?.version, version);
    assert.equal(this.receivedStates[0].position?.revision, revision);
    assert.equal(this.receivedStates[0].runners?.length, 1);
  },
);

Then("it has received nothing", function (this: World) {
  assert.equal(this.receivedStates.length, 0);
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

Given(
  "a gateway that has declaration {int} without the key {string} and a runner",
  async function (this: World, version: number, key: string) {
    const declaration = createDeclaration(version);
    const workspaces = declaration.workspaces?.map((workspace) => ({
      ...workspace,
      apiKeys: workspace.apiKeys.filter((apiKey) => apiKey !== key),
    }));
    this.seed = await startTestGateway();
    this.seed.declarations.put("main", { ...declaration, workspaces });
    this.seed.runners.put("r", createRunnerRecord("r", "127.0.0.1:1"));
    await waitUntilReady(this.seed);
  },
);

When(
  "its store answers with declaration {int} and the key {string}",
  async function (this: World, version: number, key: string) {
    const declaration = createDeclaration(version);
    assert.ok(
      declaration.workspaces?.some(({ apiKeys }) => apiKeys.includes(key)),
    );
    this.starting.declarations.put("main", declaration);
    this.starting.declarations.setUnavailable(false);
    while (!this.starting.declarations.isCaughtUp) {
      await wait(RealTimerService.create(), 1);
    }
  },
);

Then("it refuses the key {string}", async function (this: World, key: string) {
  using caller = await RawCaller.create(this.starting.gateway.callerAddress);
  caller.send({
    path: "/private/1",
    attemptId: "attempt-with-withdrawn-key",
    headers: { [testHeaders.key]: key },
  });
  await caller.waitUntil(({ text }) => text.includes("\r\n\r\n"));
  assert.match(caller.text, /^HTTP\/1\.1 401 /);
});

async function waitUntilReady({ gateway }: TestGateway): Promise<void> {
  while (!gateway.isReady || gateway.runnerCount === 0) {
    await wait(RealTimerService.create(), 1);
  }
}

When(
  "another one starts with it as a seed and no working store",
  async function (this: World) {
    this.starting = await startTestGateway({
      seedAddresses: [this.seed.gateway.peerAddress],
      isStoreUnavailable: true,
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

Given(
  "another one with it as a seed that has the same",
  async function (this: World) {
    const { gateway } = this.seed;
    this.starting = await startTestGateway({
      seedAddresses: [gateway.peerAddress],
    });
    const { declarations, runners } = this.starting;
    declarations.put("main", createDeclaration(gateway.declarationVersion));
    runners.put("r", createRunnerRecord("r", "127.0.0.1:1"));
    await waitUntilReady(this.starting);
  },
);

When(
  "the runner leaves while the store answers only the first one",
  function (this: World) {
    this.starting.runners.setUnavailable(true);
    this.starting.runners.put("r", undefined);
    this.seed.runners.put("r", undefined);
  },
);

Then(
  "the other one learns that the runner left",
  async function (this: World) {
    const { gateway } = this.starting;
    const timers = RealTimerService.create();
    while (gateway.runnerCount > 0) await wait(timers, 1);
  },
);

When("the store answers both", async function (this: World) {
  this.starting.runners.setUnavailable(false);
  await waitUntilCaughtUp(this.starting);
});

Then("the other one still knows no runner", function (this: World) {
  assert.equal(this.starting.gateway.runnerCount, 0);
});

When(
  "the runner leaves while its store is away",
  async function (this: World) {
    const { runners } = this.seed;
    await waitUntilCaughtUp(this.seed);
    const { calls } = runners;
    runners.setUnavailable(true);
    // A single call that fails would be no outage.
    while (runners.calls === calls) await wait(RealTimerService.create(), 1);
    runners.put("r", undefined);
    runners.setUnavailable(false);
    await waitUntilCaughtUp(this.seed);
    assert.equal(this.seed.gateway.runnerCount, 1);
  },
);

Then(
  "the other one is ready and knows no runner",
  async function (this: World) {
    const { gateway } = this.starting;
    const timers = RealTimerService.create();
    while (!gateway.isReady) await wait(timers, 1);
    assert.equal(gateway.runnerCount, 0);
  },
);

async function waitUntilCaughtUp({ runners }: TestGateway): Promise<void> {
  const timers = RealTimerService.create();
  while (!runners.isCaughtUp) await wait(timers, 1);
}

After(async function (this: World) {
  await this.seed?.gateway[Symbol.asyncDispose]();
  await this.starting?.gateway[Symbol.asyncDispose]();
});
