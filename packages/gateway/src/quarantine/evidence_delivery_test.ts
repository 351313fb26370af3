import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { Crash, Evidence } from "@jasminetide/core/quarantine";
import { VirtualTimerService } from "@jasminetide/core/timers";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import { EvidenceDelivery } from "./mod.ts";

type World = {
  deliveryTimers: VirtualTimerService;
  delivery: EvidenceDelivery;
  /** Crashes that each gateway has received. */
  delivered: Map<string, number>;
  silentGateway: string | undefined;
  listedGateways: string[];
  sentCrashes: number;
};

/** Lets promises settle. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await Promise.resolve();
}

function receive(
  world: World,
  address: string,
  evidence: Evidence,
): Promise<Evidence> {
  if (address === world.silentGateway) {
    return Promise.reject(new Error("silent for a test"));
  }
  const before = world.delivered.get(address) ?? 0;
  world.delivered.set(address, before + evidence.crashes.length);
  return Promise.resolve({ crashes: [], sound: [] });
}

Given(
  "a delivery to gateways {string} of which {string} does not answer",
  function (this: World, gateways: string, silent: string) {
    this.deliveryTimers = VirtualTimerService.create();
    this.delivered = new Map();
    this.silentGateway = silent;
    this.listedGateways = gateways.split(" ");
    this.sentCrashes = 0;
    this.delivery = EvidenceDelivery.create({
      timers: this.deliveryTimers,
      logger: createSilentLogger(),
      peers: {
        list: () => this.listedGateways,
        send: (address, evidence) => receive(this, address, evidence),
      },
      selectEvidence: ({ crashes }) => ({
        crashes: [...crashes].map(({ atMs: _, ...crash }) => ({
          ...crash,
          ageMs: 0,
        })),
        sound: [],
      }),
      onAnswer: () => {},
    });
  },
);

function sendCrash(world: World): void {
  world.sentCrashes += 1;
  const request = `q${world.sentCrashes}`;
  const crash: Crash = { process: "r", request, partIds: ["p"], atMs: 0 };
  world.delivery.send({ crashes: [crash], partIds: [] });
}

When("a crash is sent", async function (this: World) {
  sendCrash(this);
  await settle();
});

When("{int} crashes are sent", async function (this: World, count: number) {
  for (let index = 0; index < count; index++) sendCrash(this);
  await settle();
});

When(
  "{int} ms of delivery pass",
  async function (this: World, durationMs: number) {
    for (let ms = 0; ms < durationMs; ms += 1000) {
      this.deliveryTimers.advance(1000);
      await settle();
    }
  },
);

When("{string} answers again", function (this: World, _address: string) {
  this.silentGateway = undefined;
});

When("{string} is no longer listed", function (this: World, address: string) {
  this.listedGateways = this.listedGateways.filter((each) => each !== address);
});

Then(
  /^"(.+)" has received (\d+) crash(?:es)? and "(.+)" (\d+)$/,
  function (
    this: World,
    first: string,
    firstCount: string,
    second: string,
    secondCount: string,
  ) {
    assert.equal(this.delivered.get(first) ?? 0, Number(firstCount));
    assert.equal(this.delivered.get(second) ?? 0, Number(secondCount));
  },
);

Then(
  "{string} has received {int} crashes",
  function (this: World, address: string, count: number) {
    assert.equal(this.delivered.get(address), count);
  },
);

Then("nothing is left to deliver", function (this: World) {
  assert.equal(this.delivery.pendingGateways, 0);
});

Then("{string} is still tried", function (this: World, _address: string) {
  assert.equal(this.delivery.pendingGateways, 1);
});
