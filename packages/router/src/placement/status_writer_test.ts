import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { StorePosition } from "@jasminetide/core/store";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import type {
  ObjectName,
  PlatformClient,
  StoredObject,
  WriteCondition,
} from "@jasminetide/runtime/platform";
import { StatusWriter } from "./status_writer.ts";

type Write = { condition: WriteCondition; position: StorePosition };

/** A store of one object that records its writes. */
class StatusPlatform {
  epoch = 0;
  stored: StoredObject | undefined;
  readonly writes: Write[] = [];

  get(): Promise<StoredObject | undefined> {
    return Promise.resolve(this.stored);
  }

  put(
    _object: ObjectName,
    options: { value: string; condition: WriteCondition },
  ): Promise<StorePosition> {
    const { condition, value } = options;
    const position = { epoch: this.epoch, revision: this.writes.length + 1 };
    this.writes.push({ condition, position });
    this.stored = { position, value };
    return Promise.resolve(position);
  }
}

type World = {
  statusPlatform: StatusPlatform;
  statusWriter: StatusWriter;
  statusAtMs: number;
};

const status = { models: 3 };

Given("a status that was written", async function (this: World) {
  this.statusPlatform = new StatusPlatform();
  this.statusWriter = StatusWriter.create({
    platform: this.statusPlatform as unknown as PlatformClient,
    logger: createSilentLogger(),
    name: "placement-region-1",
  });
  this.statusAtMs = 1_000_000;
  await this.statusWriter.write(status, this.statusAtMs);
});

When(
  "the same status is written {int} seconds later",
  async function (this: World, seconds: number) {
    this.statusAtMs += seconds * 1000;
    await this.statusWriter.write(status, this.statusAtMs);
  },
);

When("the store is restored without the status", function (this: World) {
  this.statusPlatform.epoch += 1;
  this.statusPlatform.stored = undefined;
});

Then(
  "the store was written {int} time(s)",
  function (this: World, count: number) {
    assert.equal(this.statusPlatform.writes.length, count);
  },
);

Then(
  "the store was written {int} times, last as a new object of epoch {int}",
  function (this: World, count: number, epoch: number) {
    const { writes } = this.statusPlatform;
    assert.equal(writes.length, count);
    assert.equal(writes.at(-1)?.condition, "absent");
    assert.equal(writes.at(-1)?.position.epoch, epoch);
  },
);
