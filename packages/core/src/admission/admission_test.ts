import assert from "node:assert/strict";
import { setImmediate } from "node:timers/promises";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { settingsSchema } from "../configuration/mod.ts";
import { AppError } from "../results/mod.ts";
import { VirtualTimerService } from "../timers/mod.ts";
import {
  AdmissionController,
  type AdmissionRequest,
  ConcurrencyLimit,
  getCapTokens,
  isUnderCap,
  type MeanLoad,
} from "./mod.ts";

type World = {
  timers: VirtualTimerService;
  admission: AdmissionController;
  ran: string[];
  refused: { name: string; error: AppError; atMs: number }[];
  /** Functions that end the started tasks, in order of start. */
  finish: (() => void)[];
  taskMs: number | undefined;
  abort: AbortController;
  concurrency: ConcurrencyLimit;
};

const loneMean: MeanLoad = {
  tokens: 0,
  ageMs: 0,
  errorTokens: 0,
  runners: 1,
  staleRunners: 0,
};

function createSettings(admission: { [name: string]: number }) {
  return settingsSchema.parse({ admission, load: { minimumTokens: 500 } });
}

function createAdmission(
  world: World,
  options: { concurrency?: number; queue?: number; mean?: MeanLoad },
): void {
  const settings = createSettings({
    maximumConcurrency: options.concurrency ?? 64,
    maximumQueueLength: options.queue ?? 512,
  });
  world.timers = VirtualTimerService.create();
  world.ran = [];
  world.refused = [];
  world.finish = [];
  world.admission = AdmissionController.create({
    getSettings: () => settings,
    capacity: 1,
    getMeanLoad: () => options.mean ?? loneMean,
    timers: world.timers,
  });
}

function offer(
  world: World,
  name: string,
  options: Partial<AdmissionRequest> & { signal?: AbortSignal } = {},
): void {
  const { signal, ...request } = options;
  const task = () => {
    world.ran.push(name);
    return new Promise<void>((resolve) => {
      world.finish.push(resolve);
      if (world.taskMs !== undefined) {
        world.timers.schedule(world.taskMs, () => resolve());
      }
    });
  };
  const record = (error: unknown) => {
    assert.ok(error instanceof AppError);
    world.refused.push({ name, error, atMs: world.timers.nowMs() });
  };
  world.admission.run(
    {
      workspace: name[0],
      priority: 1,
      weight: 1,
      costTokens: 100,
      deadlineAtMs: world.timers.nowMs() + 3_600_000,
      ...request,
    },
    task,
    signal === undefined ? {} : { signal },
  ).catch(record);
}

async function drain(world: World): Promise<void> {
  await setImmediate();
  while (world.finish.length > 0) {
    world.finish.shift()?.();
    await setImmediate();
  }
}

/** Advances the clock in steps, so that promises settle between timers. */
async function advance(world: World, durationMs: number): Promise<void> {
  const stepMs = 10;
  for (let ms = 0; ms < durationMs; ms += stepMs) {
    world.timers.advance(stepMs);
    await setImmediate();
  }
}

Given(
  /^admission of (\d+) requests? at a time(?: and a queue of (\d+))?$/,
  function (this: World, concurrency: string, queue: string | null) {
    createAdmission(this, {
      concurrency: Number(concurrency),
      queue: Number(queue ?? 512),
    });
  },
);

Given(
  "a runner that takes {int} ms for each request",
  async function (this: World, taskMs: number) {
    this.taskMs = taskMs;
    offer(this, "first");
    await advance(this, taskMs);
  },
);

Given(
  "a pool of {int} runners with a mean of {int} tokens, {int} ms old",
  function (this: World, runners: number, tokens: number, ageMs: number) {
    createAdmission(this, { mean: { ...loneMean, tokens, ageMs, runners } });
  },
);

When(
  "these requests arrive: {string}",
  function (this: World, names: string) {
    for (const name of names.split(" ")) {
      const [, priority] = name.split("/");
      // Occupies the slot, so that the requests with a class have to wait.
      if (priority !== undefined && this.ran.length === 0) offer(this, "first");
      offer(this, name, { priority: Number(priority ?? 1) });
    }
  },
);

Then(
  "they run in the order {string}",
  async function (this: World, names: string) {
    await drain(this);
    const ran = this.ran.filter((name) => name !== "first")
      .map((name) => name.split("/")[0]);
    assert.deepEqual(ran, names.split(" "));
  },
);

When(
  "{int} requests of weight 2 and {int} of weight 1 wait",
  function (this: World, heavy: number, light: number) {
    offer(this, "first");
    for (let index = 0; index < heavy; index += 1) {
      offer(this, "h", { weight: 2 });
    }
    for (let index = 0; index < light; index += 1) offer(this, "l");
  },
);

Then(
  "the first {int} to run are {int} of weight 2 and {int} of weight 1",
  async function (this: World, count: number, heavy: number, light: number) {
    await drain(this);
    const first = this.ran.slice(1, count + 1);
    const counts = ["h", "l"].map((workspace) =>
      first.filter((name) => name === workspace).length
    );
    assert.deepEqual(counts, [heavy, light]);
  },
);

When(
  "{int} requests with a deadline of {int} ms arrive at once",
  async function (this: World, count: number, deadlineMs: number) {
    const deadlineAtMs = this.timers.nowMs() + deadlineMs;
    for (let index = 0; index < count; index += 1) {
      offer(this, `r${index}`, { deadlineAtMs });
    }
    await setImmediate();
  },
);

Then(
  "the last {int} are refused at once as not run with a retry delay",
  function (this: World, count: number) {
    assert.equal(this.refused.length, count);
    for (const { error, atMs } of this.refused) {
      assert.equal(error.result, "deadlineUnreachable");
      assert.equal(error.executed, "no");
      assert.ok((error.retryAfterMs ?? 0) >= 900);
      assert.equal(atMs, this.timers.nowMs());
    }
  },
);

Then("the others meet their deadline", async function (this: World) {
  await advance(this, 1000);
  assert.equal(this.ran.length, 11);
  assert.equal(this.refused.length, 10);
  assert.equal(this.admission.running, 0);
});

Given(
  "a runner that alternately takes {int} and {int} ms for {int} requests",
  async function (this: World, shortMs: number, longMs: number, count: number) {
    for (let index = 0; index < count; index += 1) {
      this.taskMs = index % 2 === 0 ? shortMs : longMs;
      offer(this, "training");
      await advance(this, longMs);
    }
  },
);

When(
  "a request with a deadline of {int} ms arrives behind another request",
  async function (this: World, deadlineMs: number) {
    offer(this, "before");
    offer(this, "tight", { deadlineAtMs: this.timers.nowMs() + deadlineMs });
    await setImmediate();
  },
);

Then("only that request is refused", function (this: World) {
  assert.deepEqual(this.refused.map(({ name }) => name), ["tight"]);
});

When(
  "a request with a deadline of {int} ms waits for a runner that does not respond",
  async function (this: World, deadlineMs: number) {
    offer(this, "unresponsive");
    offer(this, "waits", { deadlineAtMs: deadlineMs });
    await advance(this, 2 * deadlineMs);
  },
);

Then(
  "it is refused as not run after {int} ms",
  function (this: World, ms: number) {
    const [{ name, error, atMs }] = this.refused;
    assert.deepEqual([name, error.executed, atMs], ["waits", "no", ms]);
    assert.equal(this.admission.loadTokens, 100);
  },
);

When("a waiting request is cancelled", async function (this: World) {
  const abort = new AbortController();
  offer(this, "runs");
  offer(this, "waits", { signal: abort.signal });
  assert.equal(this.admission.loadTokens, 200);
  abort.abort();
  assert.equal(this.admission.loadTokens, 100);
  await drain(this);
});

Then(
  "it never runs and its load is released at once",
  function (this: World) {
    assert.deepEqual(this.ran, ["runs"]);
    assert.equal(this.refused[0].error.executed, "no");
    assert.equal(this.admission.queueLength, 0);
  },
);

When(
  "the caller of a running request disconnects",
  async function (this: World) {
    const abort = new AbortController();
    offer(this, "runs", { signal: abort.signal });
    abort.abort();
    await setImmediate();
  },
);

Then(
  "its load is released only when the task ends",
  async function (this: World) {
    assert.equal(this.admission.loadTokens, 100);
    assert.equal(this.admission.running, 1);
    await drain(this);
    assert.equal(this.admission.loadTokens, 0);
  },
);

When(
  "the runner is offered load up to its cap",
  async function (this: World) {
    for (let index = 0; index < 20; index += 1) offer(this, `r${index}`);
    await setImmediate();
  },
);

Then(
  "the refusal reports a mean of {int} and an age of {int} ms",
  function (this: World, tokens: number, ageMs: number) {
    // At 0.6 of `staleAfterMs`, the multiple is 1 + 0.25 * 0.4.
    assert.equal(this.admission.loadTokens, 1100);
    const { message, result, executed } = this.refused[0].error;
    assert.deepEqual([result, executed], ["overLoadCap", "no"]);
    assert.match(message, new RegExp(`mean ${tokens}, ${ageMs} ms old`));
  },
);

const meanError = fc.record({
  trueTokens: fc.integer({ min: 0, max: 100_000 }),
  deviation: fc.integer({ min: 0, max: 100_000 }),
  ageMs: fc.integer({ min: 0, max: 20_000 }),
  errorTokens: fc.integer({ min: 0, max: 1000 }),
});

/** Gets the load at which a runner with this mean reaches its cap. */
function getFilledTokens(mean: MeanLoad): number {
  const settings = createSettings({});
  const costTokens = 100;
  const capTokens = getCapTokens(mean, { settings, capacity: 1 });
  let load = 0;
  while (isUnderCap(load, { costTokens, capTokens })) load += costTokens;
  return load;
}

Then(
  "with seed {int} no underestimated mean lets the load exceed the cap",
  (seed: number) => {
    const property = fc.property(meanError, ({ trueTokens, ...error }) => {
      const { deviation, ageMs, errorTokens } = error;
      // The mean may exceed the true mean by `errorTokens`.
      const tokens = Math.max(0, trueTokens + errorTokens - deviation);
      const mean = { ...loneMean, tokens, ageMs, errorTokens, runners: 4 };
      const cap = Math.max(500, 1.25 * trueTokens);
      assert.ok(getFilledTokens(mean) <= cap);
    });
    fc.assert(property, { seed });
  },
);

Then(
  "with seed {int} an overestimated mean raises the load by at most its scaled error",
  (seed: number) => {
    const property = fc.property(meanError, (error) => {
      const { trueTokens, deviation, ageMs } = error;
      const tokens = trueTokens + deviation;
      const mean = { ...loneMean, tokens, ageMs, runners: 4 };
      const cap = Math.max(500, 1.25 * trueTokens);
      assert.ok(getFilledTokens(mean) <= cap + 1.25 * deviation);
    });
    fc.assert(property, { seed });
  },
);

Then("a lone runner admits any load", () => {
  const settings = createSettings({});
  assert.equal(getCapTokens(loneMean, { settings, capacity: 1 }), Infinity);
});

Then(
  "a runner with only stale records of its pool admits the minimum",
  () => {
    const mean = { ...loneMean, tokens: 10_000, staleRunners: 3 };
    assert.equal(getFilledTokens(mean), 500);
  },
);

Given(
  "a concurrency limit of at most {int}",
  function (this: World, maximumConcurrency: number) {
    const { admission } = createSettings({ maximumConcurrency });
    this.timers = VirtualTimerService.create();
    this.concurrency = ConcurrencyLimit.create(() => admission);
  },
);

When(
  /^first tokens take (twice|half) the target for (\d+) seconds$/,
  function (this: World, factor: string, seconds: string) {
    const durationMs = factor === "twice" ? 3600 : 900;
    for (let second = 0; second < Number(seconds); second += 1) {
      const { limit } = this.concurrency;
      for (let index = 0; index < 30; index += 1) {
        this.concurrency.observeFirstToken(durationMs, limit);
      }
      this.timers.advance(1000);
      this.concurrency.update(this.timers.nowMs());
    }
  },
);

Then("the limit is {int}", function (this: World, limit: number) {
  assert.equal(this.concurrency.limit, limit);
});

Then(
  "with seed {int} random requests have one outcome each and leave no load",
  async function (this: World, seed: number) {
    const work = fc.record({
      workspace: fc.constantFrom("a", "b", "c"),
      priority: fc.integer({ min: 0, max: 2 }),
      weight: fc.constantFrom(1, 2),
      costTokens: fc.integer({ min: 1, max: 400 }),
      deadlineMs: fc.integer({ min: 1, max: 400 }),
      pauseMs: fc.constantFrom(0, 0, 10, 30),
      isCancelled: fc.boolean(),
    });
    const property = fc.asyncProperty(
      fc.array(work, { minLength: 5, maxLength: 40 }),
      async (works) => {
        const mean = { ...loneMean, tokens: 1000, runners: 3 };
        createAdmission(this, { concurrency: 2, queue: 6, mean });
        this.taskMs = 40;
        for (const [index, each] of works.entries()) {
          const { deadlineMs, pauseMs, isCancelled, ...request } = each;
          const abort = new AbortController();
          const deadlineAtMs = this.timers.nowMs() + deadlineMs;
          const { signal } = abort;
          offer(this, `${index}`, { ...request, deadlineAtMs, signal });
          if (isCancelled) abort.abort();
          await advance(this, pauseMs);
        }
        await advance(this, 2000);
        const names = [...this.ran, ...this.refused.map(({ name }) => name)];
        assert.equal(new Set(names).size, works.length);
        assert.equal(names.length, works.length);
        assert.equal(this.admission.loadTokens, 0);
        assert.equal(this.admission.queueLength, 0);
      },
    );
    await fc.assert(property, { seed, numRuns: 30 });
  },
);
