import { Given } from "@cucumber/cucumber";
import { addCall, addRun, violationMs, type World } from "./planted_history.ts";

const runner = "runner-3-1";
const domain = "domain-1";

/** Time from when a call is sent until it arrives, as planted. */
const arrivalMs = 5;

Given(
  /^a lookup at a runner whose domain has been evacuated for (\d+) ms(, and was taken back just before it)?$/,
  function (this: World, durationMs: string, end: string | null) {
    const { domains, evacuated } = this.history;
    domains.set(runner, domain);
    const fromMs = violationMs + arrivalMs - Number(durationMs);
    const untilMs = end === null ? Infinity : violationMs;
    evacuated.push({ domain, fromMs, untilMs });
    addRun(this, addCall(this, "lookup"), { runner });
  },
);

Given(
  /^(\d+) lookups (for another runner )?within 900 ms at a runner that (is cold|was cold until before)$/,
  function (this: World, text: string, other: string | null, cold: string) {
    const count = Number(text);
    const isMisdirected = other !== null;
    const untilMs = violationMs + (cold === "is cold" ? 2000 : 0);
    const fromMs = violationMs - 500;
    this.history.cold.push({ runner, index: 0, fromMs, untilMs });
    for (let index = 0; index < count; index++) {
      const sentAtMs = violationMs + index * 900 / count;
      const call = addCall(this, "lookup", { sentAtMs });
      addRun(this, call, { runner, isMisdirected });
    }
  },
);
