import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { getWritePeriodMs, StreamOrigins, VersionHistory } from "./mod.ts";

type World = { versions: VersionHistory; origins: StreamOrigins };

const service = "engine";

function splitNames(text: string): string[] {
  return text.split(" ").filter((name) => name !== "");
}

Given(
  /^runners of versions "(.*)" are listed at (\d+) s$/,
  function (this: World, versions: string, seconds: string) {
    this.versions ??= VersionHistory.create();
    const runners = splitNames(versions)
      .map((softwareVersion) => ({ service, softwareVersion }));
    this.versions.observe(runners, Number(seconds) * 1000);
  },
);

When(
  "another router knew {string} until {int} s and {string} until {int} s",
  function (
    this: World,
    first: string,
    firstSeconds: number,
    second: string,
    secondSeconds: number,
  ) {
    const add = (softwareVersion: string, seconds: number) =>
      this.versions.add({ service, softwareVersion }, seconds * 1000);
    add(first, firstSeconds);
    add(second, secondSeconds);
  },
);

Then(
  "the candidates at {int} s are {string}",
  function (this: World, seconds: number, expected: string) {
    const found = this.versions.listCandidates(service, seconds * 1000);
    assert.deepEqual(found.sort(), splitNames(expected));
  },
);

Given(
  "streams {string} begin at {int} s",
  function (this: World, names: string, seconds: number) {
    this.origins = StreamOrigins.create();
    for (const firstAttemptId of splitNames(names)) {
      const origin = { firstAttemptId, service, softwareVersion: "v1" };
      this.origins.record(origin, seconds * 1000);
    }
  },
);

When(
  "stream {string} is complete at {int} s",
  function (this: World, name: string, seconds: number) {
    this.origins.complete(name, seconds * 1000);
  },
);

Then(
  "the origins at {int} s are {string}",
  function (this: World, seconds: number, expected: string) {
    const found = this.origins.list(seconds * 1000)
      .map(({ firstAttemptId }) => firstAttemptId);
    assert.deepEqual(found, splitNames(expected));
  },
);

Then(
  "{int} routers of a store with {int} writes a second write every {int} ms",
  (routers: number, writesPerSecond: number, periodMs: number) => {
    assert.equal(getWritePeriodMs({ routers, writesPerSecond }), periodMs);
  },
);

Then(
  /^version "(.+)" was (seen|not seen)$/,
  function (this: World, softwareVersion: string, what: string) {
    const isSeen = this.versions.has({ service, softwareVersion });
    assert.equal(isSeen, what === "seen");
  },
);
