import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { resolveRequest } from "./resolve_request.ts";
import { type Configuration, configurationSchema } from "./schema.ts";

type World = { declaration: Configuration; deadlineMs: number };

Given(
  "a class {string} with a deadline of {int} ms and a default of {int} ms",
  function (this: World, name: string, classMs: number, defaultMs: number) {
    const reason = "They are drafted at night";
    const set = { request: { class: name } };
    this.declaration = configurationSchema.parse({
      formatVersion: 1,
      defaults: { request: { class: "interactive", deadlineMs: defaultMs } },
      classes: [
        { name: "interactive", priority: 1 },
        { name, priority: 2, deferrable: true, deadlineMs: classMs },
      ],
      workspaces: [],
      models: [],
      services: [],
      exceptions: [
        { match: { workspace: "notes" }, set, reason },
        { match: { workspace: "excepted" }, set, reason },
        {
          match: { workspace: "excepted", class: name },
          set: { request: { deadlineMs: 5000 } },
          reason,
        },
      ],
    });
  },
);

When(
  "workspace {string} sends a request",
  function (this: World, workspace: string) {
    const { settings } = resolveRequest(this.declaration, { workspace });
    this.deadlineMs = settings.request.deadlineMs;
  },
);

Then("its deadline is {int} ms", function (this: World, deadlineMs: number) {
  assert.equal(this.deadlineMs, deadlineMs);
});
