import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import {
  acceptConfiguration,
  hashText,
  type JsonObject,
  listPartHashes,
  type Parts,
  splitDeclaration,
  type StoredDeclaration,
} from "@jasminetide/core/configuration";
import {
  createGossipState,
  createMembershipTables,
  createRotatingScheme,
  defaultMembershipLimits,
  getWireId,
  type MemberIdentity,
  mergeIdentity,
  mergeRecord,
  sendDueDigests,
  setPending,
} from "@jasminetide/core/membership";
import { createSeededRandom } from "@jasminetide/core/random";
import { ChatHints } from "@jasminetide/core/routing";
import { EventTracker } from "@jasminetide/runtime/streams";
import { AttemptStore } from "@jasminetide/sidecar/requests";
import { measureDecisions } from "../measure/decision_bench.ts";
import { measureHeap, measureTime, type Point } from "./points.ts";

const memberSizes = [131, 263, 525, 1050];
const workspaceSizes = [3000, 6000, 12_000, 24_000];
const attemptSizes = [50, 100, 200, 400];
const hintSizes = [1000, 4000, 16_000];
const runnerSizes = [33, 132, 330, 660];

const exceptionCount = 2000;

/** Received load records that a process relays in each tick. */
const recordsPerTick = 50;

/** Bytes of an answer of 400 tokens in events of 180 bytes. */
const answerBytes = 400 * 180;

/** Measures the memory of the membership tables by the number of members. */
export function measureMembers(): Point[] {
  return measureHeap(memberSizes, (count) => createTables(count));
}

/** Measures the time of one gossip tick by the number of members. */
export function measureTicks(): Point[] {
  return measureTime(memberSizes, {
    repeats: 500,
    prepare: (count) => {
      const gossip = createGossipState({
        tables: createTables(count),
        scheme: createRotatingScheme(createSeededRandom(1)),
        nowMs: 0,
        phaseMs: 0,
      });
      const members = [...gossip.tables.members.rows()];
      let nowMs = 0;
      return () => {
        nowMs += 200;
        for (let index = 0; index < recordsPerTick; index++) {
          const member = members[(nowMs / 200 + index) % members.length];
          setPending(gossip, member, { origin: "received", urgency: "load" });
        }
        sendDueDigests(gossip, nowMs);
      };
    },
  });
}

/** Measures the memory of a router's declaration by workspaces. */
export function measureRouterDeclaration(): Point[] {
  return measureHeap(workspaceSizes, (count) => acceptDeclaration(count));
}

/**
 * Measures the memory of a sidecar's declaration, which omits the workspaces,
 * by the number of workspaces.
 */
export function measureSidecarDeclaration(): Point[] {
  return measureHeap(
    workspaceSizes,
    (count) => acceptDeclaration(count, ["exceptions"]),
  );
}

/** Measures the memory of the attempts that a sidecar keeps with answers. */
export function measureAttempts(): Point[] {
  return measureHeap(attemptSizes, (count) => {
    const store = AttemptStore.create({
      epoch: 1,
      retentionMs: 60_000,
      answerRetentionMs: 10_000,
      orphanMs: 5000,
    });
    for (let index = 0; index < count; index++) {
      const attempt = store.begin(`attempt-${index}`, {
        epoch: 1,
        isIdempotent: true,
        nowMs: 0,
      });
      void attempt.answer.append(Buffer.alloc(answerBytes, 97));
      attempt.answer.complete();
    }
    return store;
  });
}

/** Measures the memory of a sidecar's hints for chats held elsewhere. */
export function measureHints(): Point[] {
  return measureHeap(hintSizes, (count) => {
    const hints = ChatHints.create({
      maximumHints: count,
      retentionMs: 60_000,
      getNowMs: () => 0,
    });
    for (let index = 0; index < count; index++) {
      hints.record(BigInt(index) * 7919n, { runner: "r", tokens: index });
    }
    return hints;
  });
}

/** Measures the time of a routing decision by the number of runners. */
export function measureChoices(): Point[] {
  return runnerSizes.map((runners) => ({
    x: runners,
    y: measureDecisions({ runners, seed: 1 }).p50Microseconds,
  }));
}

/** Measures the time to track the events of a relayed stream, by number. */
export function measureEvents(): Point[] {
  const event = Buffer.from(
    `data: {"id":"x","choices":[{"delta":{"content":"word "}}]}\n\n`,
  );
  return measureTime([10, 100, 1000], {
    repeats: 500,
    prepare: (count) => () => {
      const tracker = EventTracker.create();
      for (let index = 0; index < count; index++) tracker.append(event);
    },
  });
}

function createTables(count: number) {
  const tables = createMembershipTables({
    identity: createIdentity(0),
    epoch: 1,
    capacity: 1,
    limits: defaultMembershipLimits,
    nowMs: 0,
  });
  for (let index = 1; index < count; index++) {
    const identity = createIdentity(index);
    mergeIdentity(tables, identity);
    mergeRecord(tables, {
      wireId: getWireId(identity),
      epoch: index,
      sequence: 1,
      loadTokens: index,
      capacity: 1,
      isLeaving: false,
      configurationVersion: 1,
      identitySequence: 0,
      ageMs: 0,
    }, 0);
  }
  return tables;
}

function createIdentity(index: number): MemberIdentity {
  const identity: MemberIdentity = {
    type: index % 8 < 3 ? "router" : "sidecar",
    name: `process-${index}`,
    host: `host-${index}`,
    failureDomain: `domain-${index % 4}`,
    region: `region-${index % 2}`,
    controlAddress: `10.0.${index >> 8}.${index & 255}:8300`,
  };
  if (identity.type === "router") return identity;
  return {
    ...identity,
    runner: {
      id: `runner-${index}`,
      kind: "engine",
      pools: [`model-${index % 20}`],
      dataAddress: `10.0.${index >> 8}.${index & 255}:8200`,
    },
  };
}

function acceptDeclaration(
  workspaces: number,
  sections?: readonly ["exceptions"],
) {
  const stored = splitDeclaration(createDeclaration(workspaces));
  return acceptConfiguration({
    version: 1,
    hash: hashText(stored.text),
    text: stored.text,
    parts: selectParts(stored, sections),
    sections,
  });
}

function selectParts(
  stored: StoredDeclaration,
  sections?: readonly ["exceptions"],
): Parts {
  const hashes = new Set(listPartHashes(stored.text, sections));
  return new Map([...stored.parts].filter(([hash]) => hashes.has(hash)));
}

function createDeclaration(workspaces: number): JsonObject {
  return {
    formatVersion: 1,
    defaults: {},
    classes: [{ name: "interactive", priority: 0 }],
    workspaces: Array.from({ length: workspaces }, (_, index) => ({
      id: `workspace-${index}`,
      keyHashes: [createHash("sha256").update(`key ${index}`).digest("hex")],
    })),
    models: [{ name: "assistant" }],
    services: [],
    exceptions: Array.from({ length: exceptionCount }, (_, index) => ({
      match: { workspace: `workspace-${index}` },
      set: { workspace: { requestsPerSecond: 200 + index } },
      reason: `Agreed with the customer in contract ${index}`,
    })),
  };
}
