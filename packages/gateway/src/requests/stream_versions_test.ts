import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import {
  createDeclaration,
  createRunnerRecord,
  formatChunk,
  formatStreamStart,
  RawCaller,
  type Script,
  ScriptedRunner,
  startTestGateway,
  type TestGateway,
  testHeaders,
  TestSource,
} from "../test_support/mod.ts";
import type { RunnerRecord } from "../upstreams/mod.ts";

/** A runner, the version of its software, and how its streams go. */
type VersionedRunner = { runner: ScriptedRunner; version: string };

/** A stream as its caller has it, over all attempts. */
type CallerStream = { attemptId: string; callers: RawCaller[] };

type World = {
  gateways: TestGateway[];
  versioned: VersionedRunner[];
  streams: CallerStream[];
};

const timers = RealTimerService.create();

/** Events of a whole stream, and those sent before it breaks off. */
const allIds = [1, 2, 3, 4];
const firstIds = [1, 2];

function formatVersionEvents(version: string, ids: readonly number[]): string {
  const events = ids.map((id) => `id: ${id}\ndata: event of ${version}\n\n`);
  return formatChunk(events.join(""));
}

/** Answers take-ups to the end, and begins other streams. */
function createScript(version: string, then: string): Script {
  return ({ attemptId, head, socket }) => {
    const after = new RegExp(`${testHeaders.afterEvent}: (\\d+)`).exec(head);
    const start = formatStreamStart(attemptId);
    if (after !== null) {
      const ids = allIds.filter((id) => id > Number(after[1]));
      socket.write(`${start}${formatVersionEvents(version, ids)}0\r\n\r\n`);
      return;
    }
    const breakOff = then === "break streams off"
      ? () => socket.destroy()
      : undefined;
    socket.write(start + formatVersionEvents(version, firstIds), breakOff);
  };
}

Given(
  /^a gateway, and two runners each of (.+) that (hold streams|break streams off)$/,
  async function (this: World, versions: string, then: string) {
    this.streams = [];
    this.versioned = [];
    this.gateways = [await startTestGateway()];
    this.gateways[0].declarations.put("main", createDeclaration(1));
    for (const [, version] of versions.matchAll(/"(\w+)"/g)) {
      await addRunners(this, version, then);
    }
    await waitForFleet(this);
  },
);

async function addRunners(
  { gateways: [{ runners }], versioned }: World,
  version: string,
  then: string,
): Promise<void> {
  for (let index = 0; index < 2; index += 1) {
    const runner = await ScriptedRunner.create(createScript(version, then));
    versioned.push({ runner, version });
    runners.put(
      runner.address,
      createVersionedRecord({ runner, version }),
    );
  }
}

function createVersionedRecord({ runner, version }: VersionedRunner) {
  const record = createRunnerRecord(runner.address, runner.address);
  return { ...record, softwareVersion: version };
}

/** Waits until the gateway that started last knows the listed runners. */
async function waitForFleet({ gateways, versioned }: World): Promise<void> {
  const { gateway } = gateways[gateways.length - 1];
  while (!gateway.isReady || gateway.runnerCount !== versioned.length) {
    await wait(timers, 1);
  }
}

After(async function (this: World) {
  if (this.versioned === undefined) return;
  for (const { callers } of this.streams) {
    for (const caller of callers) caller[Symbol.dispose]();
  }
  for (const { runner } of this.versioned) await runner[Symbol.asyncDispose]();
  for (const { gateway } of this.gateways) {
    await gateway[Symbol.asyncDispose]();
  }
});

Given("another gateway", async function (this: World) {
  await startOther(this);
});

async function startOther(world: World): Promise<void> {
  const [sharedWith] = world.gateways;
  const name = "gateway-2";
  world.gateways.push(await startTestGateway({ name, sharedWith }));
  await waitForFleet(world);
}

Given(
  "another gateway that is told of no more runners",
  async function (this: World) {
    const [first] = this.gateways;
    const runners = TestSource.create<RunnerRecord>();
    for (const each of this.versioned) {
      runners.put(each.runner.address, createVersionedRecord(each));
    }
    this.gateways.push(
      await startTestGateway({
        name: "gateway-2",
        sharedWith: { ...first, runners },
      }),
    );
    await waitForFleet(this);
  },
);

Given(
  "two runners of {string} join",
  async function (this: World, version: string) {
    await addRunners(this, version, "hold streams");
    const [{ gateway }] = this.gateways;
    while (gateway.runnerCount < this.versioned.length) await wait(timers, 1);
  },
);

Given(
  "the records name no streams from now on",
  function (this: World) {
    const { records } = this.gateways[0].streams;
    const set = records.set.bind(records);
    records.set = (name, record) => {
      const services = Object.entries(record.services).map((
        [service, { versions }],
      ) => [service, { versions, streams: {} }]);
      return set(name, { ...record, services: Object.fromEntries(services) });
    };
  },
);

Given(
  "the records of streams can no longer be read",
  function (this: World) {
    this.gateways[0].streams.isUnavailable = true;
  },
);

Given(
  "the runners of {string} drain once they have begun a stream",
  function (this: World, version: string) {
    const [{ runners }] = this.gateways;
    for (const each of this.versioned) {
      if (each.version !== version) continue;
      const answer = each.runner.script;
      each.runner.script = (request) => {
        runners.put(each.runner.address, {
          ...createVersionedRecord(each),
          isDraining: true,
        });
        setTimeout(() => answer(request), drainNoticeMs);
      };
    }
  },
);

/** Time in which a gateway learns that a runner drains. */
const drainNoticeMs = 100;

async function beginStreams(world: World, count: number): Promise<void> {
  const [{ gateway }] = world.gateways;
  world.streams = await Promise.all(
    Array.from({ length: count }, async (_, index) => {
      const attemptId = `stream-${index}`;
      const caller = await RawCaller.create(gateway.callerAddress);
      caller.send({ path: "/story/1", attemptId });
      return { attemptId, callers: [caller] };
    }),
  );
}

When(
  "{int} callers ask for streams",
  async function (this: World, count: number) {
    await beginStreams(this, count);
    for (const { callers: [caller] } of this.streams) {
      await caller.waitUntil(hasEnded);
    }
  },
);

function hasEnded(caller: RawCaller): boolean {
  return caller.hasEnded || caller.text.endsWith("0\r\n\r\n") ||
    /^HTTP\/1.1 503 .*\r\n\r\n{.*}$/s.test(caller.text);
}

When(
  "{int} callers whose streams have begun leave",
  async function (this: World, count: number) {
    await beginStreams(this, count);
    for (const { callers: [caller] } of this.streams) {
      await caller.waitUntil(({ text }) => text.includes("id: 2"));
    }
    for (const { callers: [caller] } of this.streams) caller.socket.destroy();
  },
);

When(
  "they take their streams up at the other gateway",
  async function (this: World) {
    await takeUpAll(this);
  },
);

When(
  "{int} callers whose streams have begun take them up at the other gateway",
  async function (this: World, count: number) {
    await beginStreams(this, count);
    for (const { callers: [caller] } of this.streams) {
      await caller.waitUntil(({ text }) => text.includes("id: 2"));
      caller.socket.destroy();
    }
    await takeUpAll(this);
  },
);

async function takeUpAll({ gateways, streams }: World): Promise<void> {
  const { callerAddress } = gateways[1].gateway;
  await Promise.all(streams.map(async ({ attemptId, callers }) => {
    const caller = await RawCaller.create(callerAddress);
    callers.push(caller);
    caller.send({
      path: "/story/1",
      attemptId: `${attemptId}-again`,
      headers: {
        [testHeaders.afterEvent]: String(firstIds.at(-1)),
        [testHeaders.firstAttempt]: attemptId,
      },
    });
    await caller.waitUntil(hasEnded);
  }));
}

When(
  "the gateway stops and another one starts",
  async function (this: World) {
    await this.gateways[0].gateway[Symbol.asyncDispose]();
    await startOther(this);
  },
);

When(
  "the gateway stops, runners of {string} take over, and another gateway starts",
  async function (this: World, version: string) {
    await this.gateways[0].gateway[Symbol.asyncDispose]();
    await removeRunners(this, () => true);
    await addRunners(this, version, "hold streams");
    await startOther(this);
  },
);

When(
  "the gateway stops, and another one starts that cannot read the records of streams",
  async function (this: World) {
    await this.gateways[0].gateway[Symbol.asyncDispose]();
    this.gateways[0].streams.isUnavailable = true;
    await startOther(this);
  },
);

When(
  "the runners come back as {string} under their ids",
  async function (this: World, version: string) {
    const [{ gateway, runners }] = this.gateways;
    for (const each of this.versioned) {
      each.version = version;
      each.runner.script = createScript(version, "hold streams");
      runners.put(each.runner.address, createVersionedRecord(each));
    }
    const isKnown = () =>
      gateway.listRunners().every((record) =>
        record.softwareVersion === version
      );
    while (!isKnown()) await wait(timers, 1);
  },
);

Given(
  "each request without events breaks off once",
  function (this: World) {
    const brokenOff = new Set<string>();
    for (const { runner } of this.versioned) {
      const answer = runner.script;
      runner.script = (request) => {
        if (brokenOff.has(request.attemptId)) return answer(request);
        brokenOff.add(request.attemptId);
        request.socket.destroy();
      };
    }
  },
);

When(
  "{int} callers ask for streams that are held",
  async function (this: World, count: number) {
    await beginStreams(this, count);
    for (const { callers: [caller] } of this.streams) {
      await caller.waitUntil(({ text }) => text.includes("id: 2"));
    }
  },
);

Then("all attempts at a stream went to one version", function (this: World) {
  for (const { attemptId } of this.streams) {
    const versions = this.versioned.flatMap(({ runner, version }) =>
      runner.requests.filter((each) => each.attemptId === attemptId)
        .map(() => version)
    );
    assert.equal(versions.length, 2);
    assert.equal(new Set(versions).size, 1, versions.join(" and "));
  }
});

When(
  "the runners of {string} leave",
  async function (this: World, version: string) {
    await removeRunners(this, (each) => each.version === version);
    await waitForFleet(this);
  },
);

async function removeRunners(
  world: World,
  isRemoved: (each: VersionedRunner) => boolean,
): Promise<void> {
  const [{ runners }] = world.gateways;
  for (const { runner } of world.versioned.filter(isRemoved)) {
    runners.put(runner.address, undefined);
    await runner[Symbol.asyncDispose]();
  }
  world.versioned = world.versioned.filter((each) => !isRemoved(each));
}

/** Lists the ids and versions of the events that a caller has. */
function readStream({ callers }: CallerStream) {
  const text = callers.map((caller) => caller.text).join("");
  const ids = [...text.matchAll(/id: (\d+)/g)].map(([, id]) => Number(id));
  const versions = [...text.matchAll(/event of (\w+)/g)]
    .map(([, version]) => version);
  return { ids, versions: [...new Set(versions)] };
}

Then(
  "each of them gets a whole stream of one version",
  function (this: World) {
    for (const stream of this.streams) {
      const { ids, versions } = readStream(stream);
      assert.deepEqual(ids, allIds, stream.callers.at(-1)?.text);
      assert.equal(versions.length, 1, versions.join(" and "));
    }
  },
);

Then(
  "none of them gets events of two versions",
  function (this: World) {
    const streams = this.streams.map(readStream);
    for (const { versions } of streams) {
      assert.ok(versions.length <= 1, versions.join(" and "));
    }
    const begun = streams.filter(({ ids }) => ids.length > 0);
    assert.ok(begun.length >= streams.length / 2, `${begun.length} have begun`);
  },
);

Then(
  "those with events of {string} get whole streams",
  function (this: World, version: string) {
    const streams = this.streams.map(readStream)
      .filter(({ versions }) => versions[0] === version);
    assert.ok(streams.length > 0);
    for (const { ids } of streams) assert.deepEqual(ids, allIds);
  },
);

Then("each of them is refused as not run", function (this: World) {
  for (const { callers } of this.streams) {
    assert.match(callers.at(-1)?.text ?? "", /^HTTP\/1.1 503 /);
  }
  assert.ok(this.versioned.every(({ runner }) => runner.requests.length === 0));
});
