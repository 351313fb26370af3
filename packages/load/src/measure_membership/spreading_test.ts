import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  createRotatingScheme,
  defaultMembershipLimits,
  getCandidates,
  getWireId,
  isHeldDown,
  isLeaving,
  type MemberIdentity,
  setOwnLeaving,
} from "@jasminetide/core/membership";
import { createSeededRandom } from "@jasminetide/core/random";
import {
  createIdentity,
  DigestFleet,
  type FleetMember,
} from "./digest_fleet.ts";

type World = {
  digests: DigestFleet;
  subject: MemberIdentity;
  beginMs: number;
};

const shape = { type: "sidecar" as const, failureDomains: 3, pools: 1 };

Given(
  "{int} processes on one virtual clock with {int} percent loss, seed {int}",
  function (this: World, members: number, percent: number, seed: number) {
    const routers = members / 3;
    this.digests = DigestFleet.create({
      ...shape,
      routers,
      sidecars: members - routers,
      limits: defaultMembershipLimits,
      random: createSeededRandom(seed),
      createScheme: createRotatingScheme,
      lossRatio: percent / 100,
    });
    this.beginMs = this.digests.nowMs;
  },
);

When("they run for {int} seconds", function (this: World, seconds: number) {
  this.digests.advance(seconds * 1000);
});

When("a sidecar begins to leave", function (this: World) {
  const [sidecar] = this.digests.sidecars;
  this.subject = sidecar.identity;
  setOwnLeaving(sidecar.spreader);
});

Then(
  "every router knows within {int} seconds",
  function (this: World, seconds: number) {
    this.digests.advance(seconds * 1000);
    for (const { spreader } of this.digests.routers) {
      const row = spreader.tables.members.get(getWireId(this.subject));
      assert.ok(row !== undefined && isLeaving(row));
    }
  },
);

When("a new sidecar starts", function (this: World) {
  const known = this.digests.members.map(({ identity }) => identity);
  this.subject = createIdentity(this.digests.sidecars.length, shape);
  this.digests.add(this.subject, known);
});

Then(
  "every router has it as a candidate within {int} seconds",
  function (this: World, seconds: number) {
    this.digests.advance(seconds * 1000);
    for (const { spreader } of this.digests.routers) {
      const ids = getCandidates(spreader.tables, "model-0", this.digests.nowMs)
        .map((runner) => runner.id);
      assert.ok(ids.includes(this.subject.runner?.id ?? ""));
    }
  },
);

When(
  "a few processes of each failure domain get configuration {int}",
  function (this: World, version: number) {
    for (const member of this.digests.routers.slice(0, 6)) {
      this.digests.setVersion(member, version);
    }
  },
);

Then(
  "every process knows of configuration {int} within {int} seconds",
  function (this: World, version: number, seconds: number) {
    this.digests.advance(seconds * 1000);
    for (const { spreader } of this.digests.members) {
      assert.equal(spreader.configurationVersion, version);
    }
  },
);

Then("no process spent more than its byte budget", function (this: World) {
  const seconds = (this.digests.nowMs - this.beginMs) / 1000;
  const limit = defaultMembershipLimits.budgetBytesPerSecond / 2;
  for (const { spreader } of this.digests.members) {
    assert.ok(spreader.budget.sentBytes / seconds <= limit);
  }
});

When(
  "one failure domain is cut off for {int} seconds",
  function (this: World, seconds: number) {
    this.digests.isCut = (left, right) =>
      left !== right && [left, right].includes("domain-0");
    this.digests.advance(seconds * 1000);
    this.digests.isCut = () => false;
  },
);

Then("no router has dropped a runner", function (this: World) {
  for (const { spreader } of this.digests.routers) {
    assert.equal(spreader.tables.runners.size, this.digests.sidecars.length);
  }
});

Then(
  "every router holds fresh records of all runners",
  function (this: World) {
    const { staleAfterMs } = defaultMembershipLimits;
    for (const { spreader } of this.digests.routers) {
      for (const runner of spreader.tables.runners.rows()) {
        assert.ok(this.digests.nowMs - runner.observedAtMs <= staleAfterMs);
      }
    }
  },
);

When(
  "a sidecar restarts once a second for {int} seconds",
  function (this: World, seconds: number) {
    let member: FleetMember = this.digests.sidecars[0];
    this.subject = member.identity;
    for (let second = 0; second < seconds; second++) {
      member = this.digests.restart(member);
      this.digests.advance(1000);
    }
  },
);

Then(
  "every router holds the flapping runner back",
  function (this: World) {
    const id = this.subject.runner?.id ?? "";
    for (const { spreader } of this.digests.routers) {
      assert.ok(isHeldDown(spreader.tables, id, this.digests.nowMs));
      const candidates = getCandidates(
        spreader.tables,
        "model-0",
        this.digests.nowMs,
      );
      assert.ok(!candidates.some((runner) => runner.id === id));
    }
  },
);
