import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  applyHostList,
  createRotatingScheme,
  defaultMembershipLimits,
  getCandidates,
  getWireId,
  isHeldDown,
  isLeaving,
  type MemberIdentity,
  setOwnLeaving,
  setPending,
} from "@jasminetide/core/membership";
import { createSeededRandom } from "@jasminetide/core/random";
import fc from "fast-check";
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
  setOwnLeaving(sidecar.gossip);
});

Then(
  "every router has received it within {int} seconds",
  function (this: World, seconds: number) {
    this.digests.advance(seconds * 1000);
    for (const { gossip } of this.digests.routers) {
      const row = gossip.tables.members.get(getWireId(this.subject));
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
    for (const { gossip } of this.digests.routers) {
      const ids = getCandidates(gossip.tables, "model-0", this.digests)
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
  "every process has configuration {int} within {int} seconds",
  function (this: World, version: number, seconds: number) {
    this.digests.advance(seconds * 1000);
    for (const { gossip } of this.digests.members) {
      assert.equal(gossip.configurationVersion, version);
    }
  },
);

Then("no process exceeds its byte budget", function (this: World) {
  const seconds = (this.digests.nowMs - this.beginMs) / 1000;
  const limit = defaultMembershipLimits.budgetBytesPerSecond / 2;
  for (const { gossip } of this.digests.members) {
    assert.ok(gossip.budget.sentBytes / seconds <= limit);
  }
});

When(
  "a sidecar begins to leave while another domain is partitioned for {int} seconds",
  function (this: World, seconds: number) {
    const sidecar = this.digests.sidecars[1];
    this.subject = sidecar.identity;
    this.digests.isPartitioned = (left, right) =>
      left !== right && [left, right].includes("domain-0");
    setOwnLeaving(sidecar.gossip);
    this.digests.advance(seconds * 1000);
    this.digests.isPartitioned = () => false;
  },
);

When(
  "one failure domain is partitioned for {int} seconds",
  function (this: World, seconds: number) {
    this.digests.isPartitioned = (left, right) =>
      left !== right && [left, right].includes("domain-0");
    this.digests.advance(seconds * 1000);
    this.digests.isPartitioned = () => false;
  },
);

Then("no router has dropped a runner", function (this: World) {
  for (const { gossip } of this.digests.routers) {
    assert.equal(gossip.tables.runners.size, this.digests.sidecars.length);
  }
});

Then(
  "every router has fresh records of all runners",
  function (this: World) {
    const { staleAfterMs } = defaultMembershipLimits;
    for (const { gossip } of this.digests.routers) {
      for (const runner of gossip.tables.runners.rows()) {
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
  "every router holds the flapping runner down",
  function (this: World) {
    const id = this.subject.runner?.id ?? "";
    for (const { gossip } of this.digests.routers) {
      assert.ok(isHeldDown(gossip.tables, id, this.digests.nowMs));
      const candidates = getCandidates(
        gossip.tables,
        "model-0",
        this.digests,
      );
      assert.ok(!candidates.some((runner) => runner.id === id));
    }
  },
);

When(
  "the host lists of half of the routers show a runner as leaving",
  function (this: World) {
    const [sidecar] = this.digests.sidecars;
    this.subject = sidecar.identity;
    const { routers, members } = this.digests;
    for (const { gossip } of routers.slice(0, routers.length / 2)) {
      const listed = members.map(({ identity }) => ({
        identity,
        capacity: 1,
        state: identity === this.subject ? "leaving" as const : "live" as const,
      }));
      for (const member of applyHostList(gossip.tables, listed)) {
        setPending(gossip, member, { origin: "received", urgency: "state" });
      }
    }
  },
);

function listCandidateIds(
  digests: DigestFleet,
  { gossip }: FleetMember,
): string[] {
  return getCandidates(gossip.tables, "model-0", digests)
    .map((runner) => runner.id);
}

Then(
  "no router has the runner as a candidate for {int} seconds",
  function (this: World, seconds: number) {
    const id = this.subject.runner?.id ?? "";
    for (let second = 0; second < seconds; second++) {
      for (const router of this.digests.routers) {
        assert.ok(!listCandidateIds(this.digests, router).includes(id));
      }
      this.digests.advance(1000);
    }
  },
);

const eventArbitrary = fc.record({
  kind: fc.constantFrom("partition", "restart", "leave", "version", "none"),
  index: fc.nat(15),
  durationMs: fc.integer({ min: 1, max: 12 }).map((seconds) => seconds * 1000),
});

type FleetEvent = { kind: string; index: number; durationMs: number };

/** Runs one event; `left` collects the runners that announced leaving. */
function runFleetEvent(
  digests: DigestFleet,
  event: FleetEvent,
  left: Set<string>,
): void {
  const sidecar = digests.sidecars[event.index];
  const id = sidecar.identity.runner?.id ?? "";
  const domain = `domain-${event.index % shape.failureDomains}`;
  digests.isPartitioned = (from, to) =>
    event.kind === "partition" && from !== to && [from, to].includes(domain);
  if (event.kind === "restart") {
    digests.restart(sidecar);
    left.delete(id);
  }
  if (event.kind === "leave") {
    setOwnLeaving(sidecar.gossip);
    left.add(id);
  }
  if (event.kind === "version") {
    const [{ gossip }] = digests.routers;
    digests.setVersion(digests.routers[0], gossip.configurationVersion + 1);
  }
  const before = digests.members.map((member) => ({
    member,
    version: member.gossip.configurationVersion,
  }));
  digests.advance(event.durationMs);
  for (const { member, version } of before) {
    assert.ok(member.gossip.configurationVersion >= version);
  }
}

Then(
  "{int} random runs converge and versions never decrease, seed {int}",
  function (numRuns: number, seed: number) {
    const events = fc.array(eventArbitrary, { minLength: 3, maxLength: 8 });
    fc.assert(
      fc.property(events, fc.integer(), (list, randomSeed) => {
        const digests = DigestFleet.create({
          ...shape,
          routers: 6,
          sidecars: 16,
          limits: defaultMembershipLimits,
          random: createSeededRandom(randomSeed),
          createScheme: createRotatingScheme,
          lossRatio: 0.2,
        });
        const left = new Set<string>();
        for (const event of list) runFleetEvent(digests, event, left);
        digests.isPartitioned = () => false;
        digests.advance(90_000);
        const versions = new Set(
          digests.members.map(({ gossip }) => gossip.configurationVersion),
        );
        assert.equal(versions.size, 1);
        for (const router of digests.routers) {
          const ids = listCandidateIds(digests, router);
          assert.equal(ids.length, 16 - left.size);
          assert.ok(ids.every((id) => !left.has(id)));
        }
      }),
      { seed, numRuns },
    );
  },
);
