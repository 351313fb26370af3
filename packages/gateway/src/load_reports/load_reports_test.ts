import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { hash32 } from "@jasminetide/core/hashing";
import { createSeededRandom } from "@jasminetide/core/random";
import { VirtualTimerService, wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import { createRunnerRecord } from "../test_support/mod.ts";
import { Directory, type Upstream } from "../upstreams/mod.ts";
import {
  type DatagramMessage,
  type DatagramPort,
  decodeMessage,
  encodeMessage,
  getProcessTag,
  openDatagramPort,
} from "../datagrams/mod.ts";
import { LoadReports } from "./mod.ts";

type World = {
  reportTimers: VirtualTimerService;
  reportDirectory: Directory;
  loadReports: LoadReports;
  sentReports: { message: DatagramMessage; address: string }[];
  malformed: number;
  reportPort: DatagramPort | undefined;
};

const startMs = 10_000;

function findRunner(world: World, id: string): Upstream {
  const upstream = world.reportDirectory.find(id);
  assert.ok(upstream);
  return upstream;
}

function createLoad(held: number) {
  return { running: held, waiting: 0, slots: 96 };
}

/** Hands a datagram to the gateway, as its port does. */
function receive(world: World, bytes: Buffer): void {
  const message = decodeMessage(bytes);
  if (message?.type === "loads") world.loadReports.receive(message.reports);
  else world.malformed += 1;
}

function encodeHeld(
  runnerId: string,
  held: number,
  { ageMs = 0, startedAtMs = 1 } = {},
): Buffer {
  const runnerHash = hash32(runnerId);
  const processTag = getProcessTag(startedAtMs);
  return encodeMessage({
    type: "loads",
    reports: [{ runnerHash, processTag, ageMs, load: createLoad(held) }],
  });
}

Given(
  "a gateway that tells {int} of {int} others of the loads of runners {string} and {string}",
  function (
    this: World,
    fanout: number,
    others: number,
    first: string,
    second: string,
  ) {
    this.reportTimers = VirtualTimerService.create(startMs);
    this.reportDirectory = Directory.create({
      timers: this.reportTimers,
      logger: createSilentLogger(),
    });
    const records = [first, second].map((id) =>
      createRunnerRecord(id, "127.0.0.1:1")
    );
    this.reportDirectory.apply(new Map(records.map((each) => [each.id, each])));
    this.sentReports = [];
    this.malformed = 0;
    this.loadReports = LoadReports.create({
      timers: this.reportTimers,
      random: createSeededRandom(5),
      directory: this.reportDirectory,
      metrics: {
        countLoadReports: () => {},
      },
      fanout,
      listPeers: () =>
        Array.from(
          { length: others },
          (_, index) => ({ address: `127.0.0.1:${index + 1}` }),
        ),
      send: (message, address) => this.sentReports.push({ message, address }),
    });
  },
);

When(
  "answers of {string} and {string} report {int} and {int} requests",
  function (
    this: World,
    first: string,
    second: string,
    firstHeld: number,
    secondHeld: number,
  ) {
    const held = [[first, firstHeld], [second, secondHeld]] as const;
    for (const [id, count] of held) {
      this.loadReports.observe(findRunner(this, id), createLoad(count));
    }
  },
);

When("{int} ms pass for the reports", function (this: World, ms: number) {
  this.reportTimers.advance(startMs + ms);
});

Then(
  "{int} different gateways got one datagram with {int} and {int} requests",
  function (this: World, count: number, first: number, second: number) {
    const addresses = this.sentReports.map(({ address }) => address);
    assert.equal(addresses.length, count);
    assert.equal(new Set(addresses).size, count);
    for (const { message } of this.sentReports) {
      assert.ok(message.type === "loads");
      const held = message.reports.map(({ load }) => load.running);
      assert.deepEqual(held, [first, second]);
    }
  },
);

Then("no gateway got a datagram", function (this: World) {
  assert.equal(this.sentReports.length, 0);
});

When(
  "another gateway tells that {string} held {int} requests {int} ms ago",
  function (this: World, id: string, held: number, ageMs: number) {
    receive(this, encodeHeld(id, held, { ageMs }));
  },
);

When(
  "another gateway tells of an earlier process that {string} held {int} requests",
  function (this: World, id: string, held: number) {
    receive(this, encodeHeld(id, held, { startedAtMs: 0 }));
  },
);

When("a datagram with {string} comes", function (this: World, hex: string) {
  receive(this, Buffer.from(hex, "hex"));
});

When(
  "an answer of {string} reports {int} requests",
  function (this: World, id: string, held: number) {
    this.loadReports.observe(findRunner(this, id), createLoad(held));
  },
);

function getHeld(world: World, id: string): number {
  return findRunner(world, id).load.getEstimate(world.reportTimers.nowMs());
}

Then(
  "{string} is known to hold {int} requests",
  function (this: World, id: string, held: number) {
    assert.equal(getHeld(this, id), held);
  },
);

Then("{int} malformed datagram is counted", function (this: World, n: number) {
  assert.equal(this.malformed, n);
});

Given(
  "a port for datagrams that hands them to the gateway",
  async function (this: World) {
    this.reportPort = await openDatagramPort(
      "127.0.0.1:0",
      (bytes) => receive(this, bytes),
    );
  },
);

When(
  "a datagram is sent to it that {string} held {int} requests",
  async function (this: World, id: string, held: number) {
    await using sender = await openDatagramPort("127.0.0.1:0", () => {});
    const address = this.reportPort?.address ?? "";
    const timers = RealTimerService.create();
    while (getHeld(this, id) !== held) {
      sender.send(encodeHeld(id, held), address);
      await wait(timers, 5);
    }
  },
);

Then(
  "{string} is known to hold {int} requests soon",
  function (this: World, id: string, held: number) {
    assert.equal(getHeld(this, id), held);
  },
);

After(async function (this: World) {
  await this.reportPort?.[Symbol.asyncDispose]();
});
