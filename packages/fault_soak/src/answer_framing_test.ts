import assert from "node:assert/strict";
import type { IncomingHttpHeaders } from "node:http";
import { Given, Then } from "@cucumber/cucumber";
import { formatEvent, isWhole } from "./mod.ts";

type World = { isComplete: boolean };

const framings: Record<string, IncomingHttpHeaders> = {
  "with chunks": { "transfer-encoding": "chunked" },
  "with a length": { "content-length": "100" },
  "that nothing delimits": {},
};

Given(
  /^a stream (.+) that ends regularly (between events|inside an event)$/,
  function (this: World, framing: string, place: string) {
    const events = formatEvent("a", 1) + formatEvent("a", 2);
    const body = place === "inside an event" ? events.slice(0, -3) : events;
    const headers = {
      ...framings[framing],
      "content-type": "text/event-stream",
    };
    this.isComplete = isWhole(body, headers);
  },
);

Then(
  /^it counts as (complete|broken off)$/,
  function (this: World, result: string) {
    assert.equal(this.isComplete, result === "complete");
  },
);
