import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { getPlacementDuty } from "@jasminetide/core/leases";
import type { ModelStatus } from "@jasminetide/core/placement";
import { RealTimerService } from "@jasminetide/runtime/clock";
import {
  configurationObject,
  publishConfiguration,
} from "@jasminetide/runtime/configuration";
import { PlatformClient } from "@jasminetide/runtime/platform";
import type { LocalFleet } from "./local_fleet.ts";

type World = { fleet: LocalFleet };

/** Step timeout in ms; placement decides only every few seconds. */
const timeout = 30_000;
const timers = RealTimerService.create();

async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await new Promise((resolve) => timers.schedule(20, resolve));
  }
}

When(
  "an operator declares the model {string} with one runner",
  async function (this: World, name: string) {
    const { kind, name: object } = configurationObject;
    const stored = this.fleet.objects.store.get(`${kind}/${object}`);
    assert.ok(stored !== undefined);
    const body = JSON.parse(stored.value) as { models: unknown[] };
    body.models.push({ name, minimumRunners: 1, weightBytes: 1 });
    await using platform = PlatformClient.create({
      address: this.fleet.platformAddress,
    });
    await publishConfiguration(platform, {
      text: JSON.stringify(body),
      expectedVersion: stored.version,
    });
  },
);

Then(
  "a runner loads {string} and answers a chat for it",
  { timeout },
  async function (this: World, model: string) {
    const [router] = this.fleet.routers;
    await waitUntil(() => router.hasCandidate(model));
    const response = await fetch(
      `http://${router.callerAddress}/v1/chat/completions`,
      {
        method: "POST",
        headers: { authorization: "Bearer local-key" },
        body: JSON.stringify({
          model,
          messages: [{ role: "user", content: "write" }],
          max_tokens: 2,
        }),
      },
    );
    assert.equal(response.status, 200, await response.text());
  },
);

Then(
  "the status in the platform says that {string} has {int} runner",
  { timeout },
  async function (this: World, model: string, count: number) {
    const path = `status/${getPlacementDuty("local")}`;
    await waitUntil(() => {
      const value = this.fleet.objects.store.get(path)?.value ?? "[]";
      const status = JSON.parse(value) as ModelStatus[];
      return status.some((row) => row.model === model && row.ready === count);
    });
  },
);
