import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { createSeededRandom } from "../random/mod.ts";
import {
  chooseService,
  type DeclaredRoute,
  type DeclaredWorkspace,
  RouteTable,
} from "./mod.ts";

type World = { routeTable: RouteTable; splitRoute: DeclaredRoute };

function createRoute(host: string, pathPrefix: string): DeclaredRoute {
  return {
    name: `${host}${pathPrefix}`,
    host,
    pathPrefix,
    kind: "idempotent",
    timeoutMs: 1000,
    goalMs: 100,
    pauseGoalMs: undefined,
    priority: 0,
    services: [{ service: "s", weight: 1 }],
    maxAttempts: 1,
    isPublic: true,
    isResumable: false,
  };
}

function createTable(
  routes: DeclaredRoute[],
  workspaces?: DeclaredWorkspace[],
): RouteTable {
  return RouteTable.create({
    version: 1,
    routes,
    workspaces,
    callerLimits: {
      maxBodyBytes: 1000,
      headerTimeoutMs: 1000,
      idleTimeoutMs: 1000,
    },
  });
}

Given(
  "routes {string} and {string} of host {string} and {string} of {string}",
  function (
    this: World,
    first: string,
    second: string,
    host: string,
    third: string,
    other: string,
  ) {
    this.routeTable = createTable([
      createRoute(host, first),
      createRoute(host, second),
      createRoute(other, third),
    ]);
  },
);

Then(
  "{string} with {string} is matched to route {string}",
  function (this: World, host: string, path: string, name: string) {
    const route = this.routeTable.findRoute(host, path);
    assert.equal(route?.name ?? "none", name);
  },
);

Given(
  "a route that splits {int} to {int}",
  function (this: World, first: number, second: number) {
    this.splitRoute = {
      ...createRoute("h", "/"),
      services: [
        { service: "first", weight: first },
        { service: "second", weight: second },
      ],
    };
  },
);

Then(
  "of {int} requests {int} to {int} go to the first service",
  function (this: World, count: number, minimum: number, maximum: number) {
    const random = createSeededRandom(7);
    const chosen = Array.from(
      { length: count },
      () => chooseService(this.splitRoute, random),
    );
    const first = chosen.filter((service) => service === "first").length;
    assert.ok(first >= minimum && first <= maximum, String(first));
  },
);

Given(
  "workspaces {string} with key {string} and {string} with keys {string} and {string}",
  function (
    this: World,
    first: string,
    key: string,
    second: string,
    secondKey: string,
    thirdKey: string,
  ) {
    this.routeTable = createTable([], [
      { name: first, apiKeys: [key], priority: undefined },
      { name: second, apiKeys: [secondKey, thirdKey], priority: undefined },
    ]);
  },
);

Then(
  "key {string} belongs to {string} and key {string} to none",
  function (this: World, key: string, name: string, unknown: string) {
    assert.equal(this.routeTable.findWorkspace(key)?.name, name);
    assert.equal(this.routeTable.findWorkspace(unknown), undefined);
  },
);
