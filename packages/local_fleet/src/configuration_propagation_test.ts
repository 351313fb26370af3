import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { AppError } from "@jasminetide/core/results";
import { Router, routerSettingsSchema } from "@jasminetide/router";
import { RealTimerService } from "@jasminetide/runtime/clock";
import {
  configurationObject,
  publishConfiguration,
} from "@jasminetide/runtime/configuration";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import { PlatformClient } from "@jasminetide/runtime/platform";
import type { LocalFleet } from "./local_fleet.ts";

type World = {
  fleet: LocalFleet;
  version: number;
  outcomes: PromiseSettledResult<{ version: number }>[];
};

const timers = RealTimerService.create();

/** Polls until a condition holds; the step's timeout bounds the wait. */
async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await new Promise((resolve) => timers.schedule(5, resolve));
  }
}

function getStoredDeclaration(world: World) {
  const { kind, name } = configurationObject;
  const stored = world.fleet.objects.store.get(`${kind}/${name}`);
  assert.ok(stored !== undefined);
  return stored;
}

/** Publishes the current declaration with another deadline. */
async function publishDeadline(world: World, deadlineMs: number) {
  const { value, version } = getStoredDeclaration(world);
  const body = JSON.parse(value) as {
    defaults: { request: { deadlineMs: number } };
  };
  body.defaults.request.deadlineMs = deadlineMs;
  await using platform = PlatformClient.create({
    address: world.fleet.platformAddress,
  });
  return await publishConfiguration(platform, {
    text: JSON.stringify(body),
    expectedVersion: version,
  });
}

When(
  "an operator publishes a change and the platform goes down",
  async function (this: World) {
    this.version = (await publishDeadline(this, 30_000)).version;
    this.fleet.objects.faults.outage = true;
  },
);

Then("every process has the new version", async function (this: World) {
  const { routers, sidecars } = this.fleet;
  await waitUntil(() =>
    [...routers, ...sidecars].every((process) =>
      process.configurationVersion === this.version
    )
  );
});

When(
  "the platform goes down and another router starts",
  async function (this: World) {
    this.version = getStoredDeclaration(this).version;
    this.fleet.objects.faults.outage = true;
    const settings = routerSettingsSchema.parse({
      name: "router-late",
      host: "host-late",
      failureDomain: "domain-a",
      controlAddress: "127.0.0.1:0",
      callerAddress: "127.0.0.1:0",
      platformAddress: this.fleet.platformAddress,
      operatorKeyHash: "0".repeat(64),
      peerAddresses: [this.fleet.routers[0].controlAddress],
    });
    const router = await Router.create({
      settings,
      timers,
      logger: createSilentLogger(),
    });
    // The fleet disposes it together with the others.
    this.fleet.addRouter(router);
  },
);

Then(
  "the other router is ready with the version of its peers",
  async function (this: World) {
    const late = this.fleet.routers.at(-1);
    assert.ok(late !== undefined);
    await waitUntil(() => late.isReady);
    assert.equal(late.configurationVersion, this.version);
  },
);

When(
  "an operator publishes a change and the answer to the write is lost",
  async function (this: World) {
    this.fleet.objects.faults.lostWriteAnswers = 1;
    this.version = (await publishDeadline(this, 20_000)).version;
  },
);

Then(
  "the operator receives the version that was accepted",
  function (this: World) {
    assert.equal(this.version, getStoredDeclaration(this).version);
  },
);

When(
  "two operators publish changes based on the same version",
  async function (this: World) {
    this.outcomes = await Promise.allSettled([
      publishDeadline(this, 10_000),
      publishDeadline(this, 15_000),
    ]);
  },
);

Then(
  "one is accepted and the other is refused with a version conflict",
  function (this: World) {
    const accepted = this.outcomes.filter(({ status }) =>
      status === "fulfilled"
    );
    const [refused] = this.outcomes.filter(({ status }) =>
      status === "rejected"
    ) as PromiseRejectedResult[];
    assert.equal(accepted.length, 1);
    assert.ok(refused.reason instanceof AppError);
    assert.equal(refused.reason.result, "versionConflict");
  },
);
