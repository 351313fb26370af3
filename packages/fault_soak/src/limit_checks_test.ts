import { Given } from "@cucumber/cucumber";
import { addCall, addRun, violationMs, type World } from "./planted_history.ts";

const limitPerSecond = 4;
const runner = "runner-6-0";
const burstMs = 2000;

Given(
  "a runner that has stated a limit of 4 requests a second to gateway 0",
  function (this: World) {
    const call = addCall(this, "lookup", { sentAtMs: violationMs - 4000 });
    addRun(this, call, { runner, limitPerSecond });
  },
);

Given(
  "{int} lookups at that runner within 2 s, {int} ms later, by gateway {int}",
  function (this: World, count: number, delayMs: number, gateway: number) {
    for (let index = 0; index < count; index++) {
      const sentAtMs = violationMs - 4000 + delayMs + index * burstMs / count;
      const call = addCall(this, "lookup", { gateway, sentAtMs });
      addRun(this, call, { runner, limitPerSecond });
    }
  },
);
