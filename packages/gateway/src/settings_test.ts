import assert from "node:assert/strict";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimerService, wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import {
  createSilentLogger,
  type LogFields,
} from "@jasminetide/runtime/logging";
import { type GatewaySettings, SettingsFollower } from "./mod.ts";

type World = {
  settingsFolder: string;
  settingsFile: string;
  settingsFollower: SettingsFollower;
  appliedSettings: GatewaySettings[];
  refusals: LogFields[];
};

const exampleSettings = {
  name: "gateway-1",
  failureDomain: "a",
  callerAddress: "127.0.0.1:1",
  readinessAddress: "127.0.0.1:2",
  peerAddress: "127.0.0.1:3",
  platform: { address: "127.0.0.1:4" },
  stop: {},
  repeats: {},
  log: {},
};

Given("a settings file of a gateway", async function (this: World) {
  this.settingsFolder = await mkdtemp(join(tmpdir(), "gateway-settings-"));
  this.settingsFile = join(this.settingsFolder, "settings.jsonc");
  this.appliedSettings = [];
  this.refusals = [];
  await writeFile(this.settingsFile, JSON.stringify(exampleSettings));
  this.settingsFollower = await SettingsFollower.create({
    file: this.settingsFile,
    timers: VirtualTimerService.create(),
    logger: {
      ...createSilentLogger(),
      error: (_event, fields = {}) => this.refusals.push(fields),
    },
    onSettings: (settings) => this.appliedSettings.push(settings),
  });
});

After(async function (this: World) {
  if (this.settingsFolder === undefined) return;
  this.settingsFollower[Symbol.dispose]();
  await rm(this.settingsFolder, { recursive: true });
});

When("the process receives SIGHUP", function () {
  process.emit("SIGHUP");
});

When(
  "the grace time in the file becomes {int} and the process receives SIGHUP",
  async function (this: World, graceSeconds: number) {
    const changed = { ...exampleSettings, stop: { graceSeconds } };
    await writeFile(this.settingsFile, JSON.stringify(changed));
    process.emit("SIGHUP");
  },
);

When(
  "the file becomes invalid and the process receives SIGHUP",
  async function (this: World) {
    await writeFile(this.settingsFile, "{ name: ");
    process.emit("SIGHUP");
  },
);

Then(
  "the grace time of {int} is applied",
  async function (this: World, graceSeconds: number) {
    while (this.appliedSettings.length === 0) {
      await wait(RealTimerService.create(), 1);
    }
    assert.equal(this.appliedSettings[0].stop.graceSeconds, graceSeconds);
  },
);

Then("nothing is applied", function (this: World) {
  assert.equal(this.appliedSettings.length, 0);
});

Then(
  "nothing is applied and code {int} is logged",
  async function (this: World, code: number) {
    while (this.refusals.length === 0) await wait(RealTimerService.create(), 1);
    assert.equal(this.refusals[0].code, code);
    assert.equal(this.appliedSettings.length, 0);
  },
);
