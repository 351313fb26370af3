import { Given, When } from "@cucumber/cucumber";
import { createTestSettings } from "../test_support/mod.ts";
import {
  hasCompleteAnswer,
  type RequestWorld,
  sendRequest,
  startFleet,
} from "./requests_test.ts";

type World = RequestWorld & { repeats: { ratio: number; slack: number } };

Given(
  "a gateway with a budget of {float} retries per request plus {int} and a runner {string}",
  async function (this: World, ratio: number, slack: number, id: string) {
    this.repeats = { ratio, slack };
    await startFleet(this, id, { repeats: this.repeats });
  },
);

When("{int} lookups are answered", async function (this: World, count: number) {
  for (let index = 0; index < count; index++) {
    const caller = await sendRequest(this, "/lookup/1");
    await caller.waitUntil(hasCompleteAnswer);
  }
});

When("the settings are reloaded", function (this: World) {
  const { gateway } = this.gatewayUnderTest;
  gateway.applySettings(createTestSettings({ repeats: this.repeats }));
});
