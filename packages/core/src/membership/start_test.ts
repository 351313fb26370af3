import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { getCapTokens } from "../admission/mod.ts";
import { settingsSchema } from "../configuration/mod.ts";
import { createSeededRandom } from "../random/mod.ts";
import {
  createGossipState,
  createMembershipTables,
  createRotatingScheme,
  decodeDigest,
  getPoolMean,
  getWireId,
  type GossipState,
  type MemberIdentity,
  mergeIdentity,
  mergeRecord,
  receiveDigest,
  sendDueDigests,
  setOwnLoad,
} from "./mod.ts";

type World = {
  identities: MemberIdentity[];
  /** Runners by wire id. */
  members: Map<number, GossipState>;
  loadTokens: number;
  returned: GossipState[];
};

const startMs = 1_000_000;
const returnMs = startMs + 1000;

const settings = settingsSchema.parse({});

function createIdentity(index: number, pools: number): MemberIdentity {
  return {
    type: "sidecar",
    name: `sidecar-${index}`,
    host: `host-${index}`,
    failureDomain: `domain-${index % 4}`,
    region: "region",
    controlAddress: `127.0.0.1:${20_000 + index}`,
    runner: {
      id: `runner-${index}`,
      kind: "engine",
      pools: [`model-${index % pools}`],
      dataAddress: `127.0.0.1:${30_000 + index}`,
    },
  };
}

/** Creates a process that knows the members by the host list only. */
function createMember(
  identity: MemberIdentity,
  options: { epoch: number; listed: MemberIdentity[]; nowMs: number },
): GossipState {
  const { epoch, listed, nowMs } = options;
  const limits = settings.membership;
  const tables = createMembershipTables({
    identity,
    epoch,
    capacity: 1,
    limits,
    nowMs,
  });
  for (const entry of listed) mergeIdentity(tables, entry);
  const scheme = createRotatingScheme(createSeededRandom(epoch));
  return createGossipState({ tables, scheme, nowMs, phaseMs: 1000 });
}

function getPools(gossip: GossipState): string[] {
  return gossip.tables.self.identity.runner?.pools ?? [];
}

Given(
  "{int} runners in {int} pool(s) with a load of {int} each",
  function (this: World, runners: number, pools: number, loadTokens: number) {
    this.loadTokens = loadTokens;
    this.identities = Array.from(
      { length: runners },
      (_, index) => createIdentity(index, pools),
    );
    const members = this.identities.map((identity) =>
      createMember(identity, {
        epoch: 1,
        listed: this.identities,
        nowMs: startMs,
      })
    );
    this.members = new Map(
      members.map((member) => [member.tables.self.record.wireId, member]),
    );
    for (const member of members) {
      setOwnLoad(member, loadTokens);
      for (const { tables } of members) {
        const record = { ...tables.self.record, loadTokens, ageMs: 0 };
        mergeRecord(member.tables, record, startMs);
      }
    }
  },
);

When(
  "{int} of them come back empty and have sent their first digests",
  function (this: World, count: number) {
    const identities = this.identities.filter((identity) =>
      identity.runner?.pools.includes("model-0")
    ).slice(0, count);
    this.returned = identities.map((identity) =>
      createMember(identity, {
        epoch: 2,
        listed: this.identities,
        nowMs: returnMs,
      })
    );
    for (const gossip of this.returned) {
      this.members.set(gossip.tables.self.record.wireId, gossip);
    }
    for (const gossip of this.returned) {
      for (const { bytes, peer } of sendDueDigests(gossip, returnMs)) {
        const receiver = this.members.get(getWireId(peer.identity));
        assert.ok(receiver !== undefined);
        receiveDigest(receiver, decodeDigest(bytes), returnMs);
      }
    }
  },
);

Then(
  "the others have a cap of at most {float} times the true mean",
  function (this: World, multiple: number) {
    const others = [...this.members.values()].filter((gossip) =>
      getPools(gossip).includes("model-0") && !this.returned.includes(gossip)
    );
    const runners = others.length + this.returned.length;
    const trueTokens = this.loadTokens * others.length / runners;
    for (const gossip of others) {
      const mean = getPoolMean(gossip.tables.runners.rows(), {
        pools: getPools(gossip),
        nowMs: returnMs,
        staleAfterMs: settings.membership.staleAfterMs,
        publishRatio: 0,
        publishTokens: 0,
      });
      const capTokens = getCapTokens(
        { ...mean, staleRunners: mean.stale },
        { settings, capacity: 1 },
      );
      assert.ok(
        capTokens <= multiple * trueTokens,
        `${capTokens} against ${multiple * trueTokens}`,
      );
    }
  },
);
