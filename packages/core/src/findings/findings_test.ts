import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import {
  configurationSchema,
  formatPath,
  type Match,
} from "../configuration/mod.ts";
import { routesDocumentSchema } from "../routes/mod.ts";
import {
  findConfigurationFindings,
  type Finding,
  findRouteFindings,
} from "./mod.ts";

type World = { draftForFindings: unknown };

/** Creates a declaration without findings, with changes. */
function createDraft(changes: object): unknown {
  return {
    formatVersion: 1,
    defaults: {},
    classes: [
      { name: "interactive", priority: 0 },
      { name: "summary", priority: 1 },
    ],
    workspaces: ["w1", "w2"].map((id, index) => ({
      id,
      keyHashes: [String(index).repeat(64)],
    })),
    models: [{ name: "assistant" }],
    services: [{
      name: "desk",
      routes: [{ method: "GET", path: "/", idempotent: true }],
    }],
    ...changes,
  };
}

function createDefaults(setting: string, value: number): unknown {
  const [section, name] = setting.split(".");
  return createDraft({ defaults: { [section]: { [name]: value } } });
}

function listFindings(document: unknown): Finding[] {
  return findConfigurationFindings(configurationSchema.parse(document));
}

function formatFindings(findings: readonly Finding[]): string[] {
  return findings.map(({ code, path }) => `${code} at ${formatPath(path)}`);
}

Given(
  "defaults with {string} at {float}",
  function (this: World, setting: string, value: number) {
    this.draftForFindings = createDefaults(setting, value);
  },
);

Then(
  "the declaration has the finding {string} at {string}",
  function (this: World, code: string, path: string) {
    const found = formatFindings(listFindings(this.draftForFindings));
    assert.deepEqual(found, [`${code} at ${path}`]);
  },
);

Then(
  /^(?:there is no finding|none) with "(.+)" at ([\d.]+)$/,
  (setting: string, value: string) => {
    const document = createDefaults(setting, Number(value));
    assert.deepEqual(formatFindings(listFindings(document)), []);
  },
);

const matches: { [name: string]: Match } = {
  w1: { workspace: "w1" },
  w2: { workspace: "w2" },
  desk: { service: "desk" },
  assistant: { model: "assistant" },
  host: { host: "host-1" },
  class: { class: "summary" },
};

function parseMatch(text: string): Match {
  return Object.assign({}, ...text.split("+").map((name) => matches[name]));
}

Given(
  /^exceptions for (.+)$/,
  function (this: World, text: string) {
    const exceptions = text.split(", then ").map((entry) => {
      const [match, value] = entry.split(" with ");
      return {
        match: parseMatch(match),
        set: { retry: { maximumAttempts: Number(value) } },
        reason: "Test",
      };
    });
    this.draftForFindings = createDraft({ exceptions });
  },
);

Given(
  "a class with a deadline of {int} ms and an exception for it with {int} ms",
  function (this: World, classMs: number, deadlineMs: number) {
    this.draftForFindings = createDraft({
      classes: [
        { name: "interactive", priority: 0 },
        { name: "summary", priority: 1, deadlineMs: classMs },
      ],
      exceptions: [{
        match: matches["class"],
        set: { request: { deadlineMs } },
        reason: "Test",
      }],
    });
  },
);

Given(
  /^an exception for (\S+) that sets (\S+)$/,
  function (this: World, match: string, setting: string) {
    const [section, name] = setting.split(".");
    const value = name === "class" ? "summary" : 7;
    this.draftForFindings = createDraft({
      exceptions: [{
        match: parseMatch(match),
        set: { [section]: { [name]: value } },
        reason: "Test",
      }],
    });
  },
);

Then(
  "the only finding is {string} at {string}",
  function (this: World, code: string, path: string) {
    const found = formatFindings(listFindings(this.draftForFindings));
    assert.deepEqual(found, [`${code} at ${path}`]);
  },
);

Then("the declaration has no finding", function (this: World) {
  assert.deepEqual(formatFindings(listFindings(this.draftForFindings)), []);
});

function listRouteFindings(prefixes: readonly string[]): string[] {
  const routes = prefixes.map((pathPrefix, index) => ({
    name: `route-${index}`,
    host: "h",
    pathPrefix,
    kind: "idempotent",
    timeoutMs: 1000,
    goalMs: 100,
    services: [{ service: "s", weight: 1 }],
  }));
  const callerLimits = {
    maxBodyBytes: 1000,
    headerTimeoutMs: 1000,
    idleTimeoutMs: 1000,
  };
  const document = { version: 1, routes, callerLimits };
  return formatFindings(
    findRouteFindings(routesDocumentSchema.parse(document)),
  );
}

Then(
  "routes {string}, {string} and {string} of one host have no finding",
  (first: string, second: string, third: string) => {
    assert.deepEqual(listRouteFindings([first, second, third]), []);
  },
);

Then(
  "routes {string}, {string} and {string} of one host have the finding {string} at {string}",
  (
    first: string,
    second: string,
    third: string,
    code: string,
    path: string,
  ) => {
    const found = listRouteFindings([first, second, third]);
    assert.deepEqual(found, [`${code} at ${path}`]);
  },
);
