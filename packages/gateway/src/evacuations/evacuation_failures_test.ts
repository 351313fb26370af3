import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import { ReadScheduler, RealTimerService } from "@jasminetide/runtime/clock";
import { createMemoryBudgets } from "../memory_budgets.ts";
import { Attempt, type AttemptEnd, decideNext } from "../requests/mod.ts";
import {
  createDeclaration,
  createRunnerRecord,
  formatAnswer,
  RawCaller,
  ScriptedRunner,
  startTestGateway,
  type TestGateway,
  testProtocol,
} from "../test_support/mod.ts";
import { Upstream } from "../upstreams/mod.ts";

/** More than the one attempt of a scenario uses. */
const testBudgets = { answerBytes: 1_000_000, bodyBytes: 1_000_000 };

type World = {
  evacuatingFleet: TestGateway[];
  waitingAttempt: Attempt;
  isStillReady: boolean;
  attemptEnd: AttemptEnd;
  failingRunner: ScriptedRunner | undefined;
  restartedAtMs: number;
};

const timers = RealTimerService.create();

async function waitUntil(check: () => boolean): Promise<void> {
  while (!check()) await wait(timers, 1);
}

Given(
  "{int} gateways that follow evacuations, of which the store turns away {int}",
  async function (this: World, count: number, turnedAway: number) {
    const first = await startTestGateway({ hasEvacuations: true });
    this.evacuatingFleet = [first];
    first.declarations.put("main", createDeclaration(1));
    for (let index = 1; index < count; index++) {
      const isTurnedAway = index >= count - turnedAway;
      this.evacuatingFleet.push(
        await startTestGateway({
          name: `gateway-${index + 1}`,
          hasEvacuations: true,
          seedAddresses: [first.gateway.peerAddress],
          ...(isTurnedAway
            ? { isStoreUnavailable: true }
            : { sharedWith: first }),
        }),
      );
    }
    await waitUntil(() =>
      this.evacuatingFleet.every(({ gateway }) => gateway.isReady)
    );
  },
);

Given(
  "a runner {string} that has been up for long, and a limit of {int} requests a second while cold",
  async function (this: World, id: string, coldPerSecond: number) {
    const [{ declarations, gateway, peers, runners }] = this.evacuatingFleet;
    const runner = await ScriptedRunner.create(({ attemptId, socket }) =>
      socket.write(formatAnswer(attemptId, id))
    );
    this.failingRunner = runner;
    peers.put("gateway-1", { address: "127.0.0.1:1", capacity: 1 });
    runners.put(id, createRunnerRecord(id, runner.address));
    declarations.put("main", {
      ...createDeclaration(2),
      services: [{ name: "service", coldStartMs: 30_000, coldPerSecond }],
    });
    await waitUntil(() =>
      gateway.declarationVersion === 2 && gateway.runnerCount === 1 &&
      peers.isCaughtUp
    );
  },
);

Given(
  "an attempt that waits for a connection to a runner",
  async function (this: World) {
    this.failingRunner = await ScriptedRunner.create(() => {});
    const record = createRunnerRecord("r1", this.failingRunner.address);
    const reads = ReadScheduler.create();
    this.isStillReady = true;
    this.waitingAttempt = Attempt.create({
      upstream: Upstream.create(record, { timers, reads }),
      request: {
        attemptId: "1",
        method: "GET",
        target: "/lookup/1",
        headers: [],
        body: Buffer.alloc(0),
      },
      attemptId: "1",
      protocol: testProtocol,
      memory: createMemoryBudgets(testBudgets).answerMemory,
      sink: {
        chooseUse: () => "buffer",
        begin: () => {},
        keptBytes: 0,
        write: () => "continue",
        onceWritable: () => {},
        end: () => undefined,
      },
      onSent: () => {},
      onAnswerHead: () => {},
      onAnswer: () => {},
      prepareSend: () => undefined,
      maySend: () => this.isStillReady,
      onBytes: () => {},
      onPause: () => {},
    });
  },
);

After(async function (this: World) {
  await this.failingRunner?.[Symbol.asyncDispose]();
  for (const { gateway } of this.evacuatingFleet ?? []) {
    await gateway[Symbol.asyncDispose]();
  }
});

When("an operator evacuates {string}", function (this: World, domain: string) {
  const [{ evacuations }] = this.evacuatingFleet;
  evacuations.put(domain, { failureDomain: domain });
});

When("the operator takes {string} back", function (this: World, name: string) {
  this.evacuatingFleet[0].evacuations.put(name, undefined);
});

When("the gateway hears nothing more", function (this: World) {
  this.evacuatingFleet[0].evacuations.setSilent(true);
});

When(
  /^the gateway goes on, (within|beyond) the history of the store$/,
  async function (this: World, when: string) {
    const [{ evacuations }] = this.evacuatingFleet;
    const { calls } = evacuations;
    evacuations.setHistoryLost(when === "beyond");
    evacuations.setSilent(false);
    // A list, since its watch has expired.
    if (when === "beyond") await waitUntil(() => evacuations.calls > calls);
    evacuations.setHistoryLost(false);
  },
);

When("its runner is evacuated before it is open", async function (this: World) {
  this.isStillReady = false;
  this.attemptEnd = await this.waitingAttempt.ended;
});

When("{int} requests are sent to {string}", async function (
  this: World,
  count: number,
  _id: string,
) {
  for (let number = 0; number < count; number++) {
    const { callerAddress } = this.evacuatingFleet[0].gateway;
    using caller = await RawCaller.create(callerAddress);
    caller.send({ path: "/lookup/1", attemptId: `restart-${number}` });
    await waitUntil(() => /\r\n\r\n./.test(caller.text));
  }
});

When(
  "{string} restarts with its id, cold",
  async function (this: World, id: string) {
    const [{ gateway, runners }] = this.evacuatingFleet;
    const { address, requests } = this.failingRunner as ScriptedRunner;
    requests.length = 0;
    this.restartedAtMs = timers.nowMs();
    runners.put(id, {
      ...createRunnerRecord(id, address),
      startedAtMs: 2,
      coldLeftMs: 30_000,
    });
    await waitUntil(() => gateway.listRunners()[0]?.startedAtMs === 2);
  },
);

Then(
  "all gateways know that {string} is evacuated",
  async function (this: World, domain: string) {
    await waitUntil(() =>
      this.evacuatingFleet.every(({ gateway: { evacuatedDomains } }) =>
        evacuatedDomains.size === 1 && evacuatedDomains.has(domain)
      )
    );
  },
);

Then("all gateways know that none is evacuated", async function (this: World) {
  await waitUntil(() =>
    this.evacuatingFleet.every(({ gateway }) =>
      gateway.evacuatedDomains.size === 0
    )
  );
});

Then("the attempt is withdrawn, to be placed again", function (this: World) {
  assert.equal(this.attemptEnd.type, "withdrawn");
  const progress = {
    hasBegun: false,
    runs: 0,
    maxRuns: 1,

    attempts: 1,
  };
  const route = { kind: "nonIdempotent" as const, isResumable: false };
  const step = decideNext(this.attemptEnd, { ...progress, ...route });
  assert.equal(step, "repeat");
});

Then("the runner has received no request", function (this: World) {
  assert.equal(this.failingRunner?.requests.length, 0);
});

Then(
  "the new process of {string} has received at most {int} requests in a second",
  function (this: World, _id: string, limit: number) {
    const seconds = Math.ceil((timers.nowMs() - this.restartedAtMs) / 1000);
    const count = this.failingRunner?.requests.length ?? 0;
    assert.ok(count > 0 && count <= limit * seconds, String(count));
  },
);
