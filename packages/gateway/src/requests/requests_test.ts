import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { wait } from "@jasminetide/core/timers";
import { RealTimerService } from "@jasminetide/runtime/clock";
import { MemoryPeak } from "@jasminetide/testing/memory_peak";
import {
  createDeclaration,
  createRunnerRecord,
  formatAnswer,
  formatChunk,
  formatEvents,
  formatHead,
  RawCaller,
  type ReceivedRequest,
  refuseAsNotRun,
  resetSocket,
  resumeAtThird,
  type Script,
  ScriptedRunner,
  setScripts,
  startTestGateway,
  type TestGateway,
  type TestGatewayOptions,
  testHeaders,
} from "../test_support/mod.ts";

/** State that the steps on requests share. */
export type RequestWorld = {
  gatewayUnderTest: TestGateway;
  /** Memory that is used while a runner sends without end. */
  memory: MemoryPeak;
  scriptedRunners: Map<string, ScriptedRunner>;
  rawCallers: RawCaller[];
  answers: string[];
};

type World = RequestWorld;

const timers = RealTimerService.create();

async function addRunner(world: World, id: string): Promise<void> {
  const runner = await ScriptedRunner.create(() => {});
  world.scriptedRunners.set(id, runner);
  world.gatewayUnderTest.runners.put(
    id,
    createRunnerRecord(id, runner.address),
  );
}

async function waitUntilReady(world: World): Promise<void> {
  while (!world.gatewayUnderTest.gateway.isReady) await wait(timers, 1);
}

function setScript(world: World, script: Script): void {
  for (const runner of world.scriptedRunners.values()) runner.script = script;
}

function listReceived(world: World): ReceivedRequest[] {
  return [...world.scriptedRunners.values()].flatMap(({ requests }) =>
    requests
  );
}

let attempts = 0;

/** Sends a request on a connection of its own. */
export async function sendRequest(
  world: World,
  path: string,
  headers: Record<string, string> = {},
): Promise<RawCaller> {
  const { callerAddress } = world.gatewayUnderTest.gateway;
  const caller = await RawCaller.create(callerAddress);
  world.rawCallers.push(caller);
  attempts += 1;
  const attemptId = `attempt-${attempts}`;
  caller.send({ path, attemptId, headers });
  return caller;
}

function getCaller(world: World): RawCaller {
  const caller = world.rawCallers.at(-1);
  assert.ok(caller);
  return caller;
}

/** Whether the caller has received all that it will get. */
export function hasCompleteAnswer({ hasEnded, text }: RawCaller): boolean {
  const end = text.indexOf("\r\n\r\n");
  if (end < 0) return hasEnded;
  // A status without a body ends with its head.
  if (text.startsWith("HTTP/1.1 304 ")) return true;
  const length = /content-length: (\d+)/i.exec(text.slice(0, end))?.[1];
  if (length !== undefined) return text.length >= end + 4 + Number(length);
  return hasEnded || text.endsWith("0\r\n\r\n");
}

function getStatus(caller: RawCaller): number {
  return Number(/^HTTP\/1\.1 (\d+)/.exec(caller.text)?.[1]);
}

/** Starts a gateway and a runner. */
export async function startFleet(
  world: World,
  runnerId: string,
  options: TestGatewayOptions = {},
): Promise<void> {
  world.rawCallers = [];
  world.scriptedRunners = new Map();
  world.gatewayUnderTest = await startTestGateway(options);
  world.gatewayUnderTest.declarations.put("main", createDeclaration(1));
  await addRunner(world, runnerId);
  await waitUntilReady(world);
}

Given(
  "a gateway and a runner {string}",
  async function (this: World, id: string) {
    await startFleet(this, id);
  },
);

Given(
  "a gateway without a retry budget and a runner {string}",
  async function (this: World, id: string) {
    await startFleet(this, id, { repeats: { ratio: 0, slack: 0 } });
  },
);

After(async function (this: World) {
  if (this.gatewayUnderTest === undefined) return;
  for (const caller of this.rawCallers) caller[Symbol.dispose]();
  for (const runner of this.scriptedRunners.values()) {
    await runner[Symbol.asyncDispose]();
  }
  await this.gatewayUnderTest.gateway[Symbol.asyncDispose]();
});

Given("a runner {string}", async function (this: World, id: string) {
  await addRunner(this, id);
  const { gateway } = this.gatewayUnderTest;
  while (gateway.runnerCount < this.scriptedRunners.size) await wait(timers, 1);
});

Given(
  "the runner answers {string} with {string}",
  function (this: World, status: string, body: string) {
    setScript(
      this,
      ({ attemptId, socket }) =>
        socket.write(formatAnswer(attemptId, body, { status })),
    );
  },
);

Given(
  "runner {string} answers {string} with {string}",
  function (this: World, id: string, status: string, body: string) {
    const runner = this.scriptedRunners.get(id);
    assert.ok(runner);
    runner.script = ({ attemptId, socket }) =>
      socket.write(formatAnswer(attemptId, body, { status }));
  },
);

Given("both runners answer {string}", function (this: World, body: string) {
  setScript(
    this,
    ({ attemptId, socket }) => socket.write(formatAnswer(attemptId, body)),
  );
});

Given(
  "the runner answers without length {string} and closes",
  function (this: World, body: string) {
    setScript(this, ({ attemptId, socket }) =>
      socket.end(
        `${formatHead(attemptId)}Connection: close\r\n\r\n${body}`,
      ));
  },
);

/** Bytes of answers that are malformed or incomplete, by description. */
const faultyAnswers: Record<string, (attemptId: string) => string> = {
  "10 bytes of a length of 20": (id) =>
    `${formatHead(id)}Content-Length: 20\r\n\r\n0123456789`,
  "one chunk and no last chunk": (id) =>
    `${formatHead(id)}Transfer-Encoding: chunked\r\nConnection: close` +
    "\r\n\r\n5\r\n01234\r\n",
  "10 bytes without length": (id) =>
    `${formatHead(id)}Connection: close\r\n\r\n0123456789`,
  "a chunk size that is not a number": (id) =>
    `${formatHead(id)}Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n`,
  "bytes that are not HTTP": () => "SSH-2.0-something\r\n\r\n",
  "a header that cannot be sent on": (id) =>
    `${formatHead(id)}x-more: \x01\r\nContent-Length: 2\r\n\r\nok`,
  "a success without the mark": (id) =>
    `HTTP/1.1 200 OK\r\n${testHeaders.attempt}: ${id}\r\n` +
    "Content-Length: 2\r\n\r\nok",
  "status 000": (id) => formatAnswer(id, "ok", { status: "000 Trouble" }),
  "status 099": (id) => formatAnswer(id, "ok", { status: "099 Trouble" }),
  "a status of four digits": (id) =>
    formatAnswer(id, "ok", { status: "2000 OK" }),
  "a status that runs into its reason": (id) =>
    formatAnswer(id, "ok", { status: "200OK" }),
  "another protocol that nobody asked for": (id) =>
    formatHead(id, "101 Switching Protocols") +
    "Connection: upgrade\r\nUpgrade: other\r\n\r\nbytes",
  "a version that is not HTTP/1": (id) =>
    formatAnswer(id, "ok").replace("HTTP/1.1", "HTTP/7.1"),
  "a status line with a high bit set": (id) =>
    formatAnswer(id, "ok").replace("HTTP/1.1 2", "HTTP/1.1 \xb2"),
  "an interim answer with a body": (id) =>
    "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nother" +
    formatAnswer(id, "ok"),
};

Given(
  /^the runner cuts its answer short: (.+), then it (closes|resets|waits)$/,
  function (this: World, how: string, end: string) {
    const format = faultyAnswers[how];
    assert.ok(format, how);
    setScript(
      this,
      ({ attemptId, socket }) =>
        socket.write(format(attemptId), "latin1", () => {
          if (end === "closes") socket.end();
          else if (end === "resets") resetSocket(socket);
        }),
    );
  },
);

Given(
  "the runner answers with status {int} and a length of {int}",
  function (this: World, status: number, length: number) {
    setScript(
      this,
      ({ attemptId, socket }) =>
        socket.write(
          `${formatHead(attemptId, `${status} Status`)}` +
            `Content-Length: ${length}\r\n\r\n`,
        ),
    );
  },
);

Given(
  "the runner repeats its previous answer before each new one",
  function (this: World) {
    let last = "";
    setScript(this, ({ attemptId, socket }) => {
      const answer = formatAnswer(attemptId, `for ${attemptId}`);
      socket.write(last + answer);
      last = answer;
    });
  },
);

Given(
  "both runners close every connection without an answer",
  function (this: World) {
    setScript(this, ({ socket }) => socket.destroy());
  },
);

Given(
  "the first runner tried refuses it as not run, the other answers {string}",
  function (this: World, body: string) {
    setScripts(
      this.scriptedRunners.values(),
      refuseAsNotRun,
      ({ attemptId, socket }) => socket.write(formatAnswer(attemptId, body)),
    );
  },
);

Given("the runner refuses the request as not run", function (this: World) {
  setScript(this, refuseAsNotRun);
});

Given("the runner has stopped", async function (this: World) {
  await this.scriptedRunners.get("first")?.[Symbol.asyncDispose]();
  this.scriptedRunners.clear();
});

Given("the runner does not answer", function (this: World) {
  setScript(this, () => {});
});

const breakOffInThird: Script = ({ attemptId, socket }) => {
  const begin = `${formatHead(attemptId)}Transfer-Encoding: chunked\r\n\r\n`;
  const part = formatChunk(formatEvents([1, 2])) + formatChunk("id: 3\ndata");
  socket.write(begin + part, () => socket.destroy());
};

Given(
  "the first runner tried breaks off in event 3, the other resumes",
  function (this: World) {
    setScripts(this.scriptedRunners.values(), breakOffInThird, resumeAtThird);
  },
);

const stopAfterSecond: Script = ({ attemptId, socket }) =>
  socket.write(
    `${formatHead(attemptId)}Transfer-Encoding: chunked\r\n\r\n` +
      formatChunk(formatEvents([1, 2])),
  );

Given(
  "the first runner tried stops after event 2, the other resumes",
  function (this: World) {
    setScripts(this.scriptedRunners.values(), stopAfterSecond, resumeAtThird);
  },
);

Given(
  "the first runner tried stays silent, the other answers {string}",
  function (this: World, body: string) {
    setScripts(
      this.scriptedRunners.values(),
      () => {},
      ({ attemptId, socket }) => socket.write(formatAnswer(attemptId, body)),
    );
  },
);

/** Scripts of streams without framing, by how they end. */
const unframedStreams: Record<string, Script> = {
  "closes after event 4": ({ attemptId, socket }) =>
    socket.end(formatUnframed(attemptId, formatEvents([3, 4]))),
  "closes in event 4": ({ attemptId, socket }) =>
    socket.end(formatUnframed(attemptId, `${formatEvents([3])}id: 4\ndata`)),
  "resets after event 4": ({ attemptId, socket }) =>
    socket.write(
      formatUnframed(attemptId, formatEvents([3, 4])),
      () => resetSocket(socket),
    ),
  "closes in event 3": ({ attemptId, socket }) =>
    socket.end(
      formatUnframed(attemptId, `${formatEvents([1, 2])}id: 3\ndata`),
    ),
};

function formatUnframed(attemptId: string, body: string): string {
  return `${formatHead(attemptId)}Connection: close\r\n\r\n${body}`;
}

Given(
  /^the first runner tried breaks off in event 3, the other resumes without length and (.+)$/,
  function (this: World, end: string) {
    const other = unframedStreams[end];
    assert.ok(other, end);
    setScripts(this.scriptedRunners.values(), breakOffInThird, other);
  },
);

Given(
  /^the runner streams without length and (.+)$/,
  function (this: World, end: string) {
    const script = unframedStreams[end];
    assert.ok(script, end);
    setScript(this, script);
  },
);

Given(
  "the first runner tried streams without length and closes in event 3, the other resumes",
  function (this: World) {
    const first = unframedStreams["closes in event 3"];
    setScripts(this.scriptedRunners.values(), first, resumeAtThird);
  },
);

Given(
  "the first runner tried breaks off in event 3, the other answers {int}",
  function (this: World, status: number) {
    setScripts(
      this.scriptedRunners.values(),
      breakOffInThird,
      ({ attemptId, socket }) =>
        socket.write(formatAnswer(attemptId, "no", { status: `${status} No` })),
    );
  },
);

Given(
  "the first runner tried answers {int}, the other closes without an answer",
  function (this: World, status: number) {
    setScripts(
      this.scriptedRunners.values(),
      ({ attemptId, socket }) =>
        socket.write(formatAnswer(attemptId, "no", { status: `${status} No` })),
      ({ socket }) => socket.destroy(),
    );
  },
);

Given("the runner breaks off in event 3", function (this: World) {
  setScript(this, breakOffInThird);
});

When("a caller sends {string}", async function (this: World, path: string) {
  await sendRequest(this, path);
});

When(
  "a caller sends {string} with {string}",
  async function (this: World, path: string, header: string) {
    const [name, value] = header.split(": ");
    await sendRequest(this, path, { [name]: value });
  },
);

When(
  "a request with both a length and chunks is sent",
  async function (this: World) {
    await sendRequest(this, "/lookup/1", {
      "content-length": "5",
      "transfer-encoding": "chunked",
    });
  },
);

When(
  "a caller sends {string} and then {string}",
  async function (this: World, first: string, second: string) {
    for (const path of [first, second]) {
      const caller = await sendRequest(this, path);
      await caller.waitUntil(hasCompleteAnswer);
    }
  },
);

When(
  "a caller sends {string} and disconnects once it has arrived",
  async function (this: World, path: string) {
    const arrived = this.scriptedRunners.get("first")?.waitForRequest();
    const caller = await sendRequest(this, path);
    await arrived;
    caller[Symbol.dispose]();
  },
);

When(
  "{int} callers send prompts with a shared prefix, one after the other",
  async function (this: World, count: number) {
    for (let index = 0; index < count; index++) {
      const prompt = `common,shared,own-${index}`;
      const caller = await sendRequest(this, "/summary/1", {
        [testHeaders.prompt]: prompt,
      });
      await caller.waitUntil(hasCompleteAnswer);
    }
  },
);

Then("the caller gets status {int}", async function (
  this: World,
  status: number,
) {
  const caller = getCaller(this);
  await caller.waitUntil(hasCompleteAnswer);
  assert.equal(getStatus(caller), status);
});

Then(
  "the caller gets status {int} and {string} with the runner's mark",
  async function (this: World, status: number, body: string) {
    const caller = getCaller(this);
    await caller.waitUntil(hasCompleteAnswer);
    assert.equal(getStatus(caller), status);
    assert.match(caller.text, new RegExp(`^${testHeaders.mark}: m`, "m"));
    assert.ok(caller.text.endsWith(body));
  },
);

Then(
  "the caller gets status {int} and a retry time",
  async function (this: World, status: number) {
    const caller = getCaller(this);
    await caller.waitUntil(hasCompleteAnswer);
    assert.equal(getStatus(caller), status);
    assert.match(caller.text, /^Retry-After: 0\.\d+\r$/m);
  },
);

Then("the runner saw {string}", async function (this: World, line: string) {
  await getCaller(this).waitUntil(hasCompleteAnswer);
  const head = listReceived(this)[0]?.head.toLowerCase() ?? "";
  assert.ok(head.split("\r\n").includes(line), head);
});

Then(
  "the runner was given at most {int} ms",
  function (this: World, limitMs: number) {
    const head = listReceived(this)[0]?.head ?? "";
    const pattern = new RegExp(`^${testHeaders.timeout}: (\\d+)`, "m");
    const timeoutMs = Number(pattern.exec(head)?.[1]);
    assert.ok(timeoutMs > 0 && timeoutMs <= limitMs, head);
  },
);

Then("no runner saw a request", function (this: World) {
  assert.equal(listReceived(this).length, 0);
});

Then(
  /^(\d+) requests? reached runners$/,
  function (this: World, count: string) {
    assert.equal(listReceived(this).length, Number(count));
  },
);

Then(
  "the connection ends after {string} without any length header",
  async function (this: World, body: string) {
    const caller = getCaller(this);
    await caller.waitUntil(({ hasEnded }) => hasEnded);
    assert.ok(caller.text.endsWith(`\r\n\r\n${body}`), caller.text);
    assert.doesNotMatch(caller.text, /content-length|transfer-encoding/i);
  },
);

Then("both callers get their own answer", function (this: World) {
  const ids = listReceived(this).map(({ attemptId }) => attemptId);
  assert.equal(ids.length, 2);
  this.rawCallers.forEach((caller, index) =>
    assert.ok(caller.text.endsWith(`\r\n\r\nfor ${ids[index]}`), caller.text)
  );
});

Then("the runner sees its connection close", async function (this: World) {
  await listReceived(this)[0].closed;
});

function listEventIds(caller: RawCaller): string {
  return [...caller.text.matchAll(/^id: (\d+)$/gm)]
    .map((match) => match[1])
    .join(" ");
}

Then(
  "the caller gets events {string} once each and a proper end",
  async function (this: World, ids: string) {
    const caller = getCaller(this);
    await caller.waitUntil(hasCompleteAnswer);
    assert.equal(listEventIds(caller), ids);
    assert.ok(caller.text.endsWith("0\r\n\r\n"));
  },
);

Then(
  "the caller gets events {string} and no proper end",
  async function (this: World, ids: string) {
    const caller = getCaller(this);
    await caller.waitUntil(({ hasEnded }) => hasEnded);
    assert.equal(listEventIds(caller), ids);
    assert.ok(!caller.text.endsWith("0\r\n\r\n"));
  },
);

Then(
  "the second request asked to resume after event {string}",
  function (this: World, id: string) {
    const second = listReceived(this).find(({ head }) =>
      head.includes(`${testHeaders.afterEvent}: ${id}`)
    );
    assert.ok(second);
  },
);

Then("one runner received all of them", function (this: World) {
  const counts = [...this.scriptedRunners.values()].map(({ requests }) =>
    requests.length
  );
  assert.ok(counts.includes(0), counts.join(" "));
});

/** Sends a payout with a time limit of 100 ms; returns the answer's status. */
async function sendShortPayout(world: World): Promise<number> {
  const headers = { [testHeaders.timeout]: "100" };
  const caller = await sendRequest(world, "/payout/short", headers);
  await caller.waitUntil(hasCompleteAnswer);
  return getStatus(caller);
}

When(
  "payouts with 100 ms each are sent until one has expired",
  async function (this: World) {
    let status = 0;
    while (status !== 504) status = await sendShortPayout(this);
  },
);

Then(
  "{int} further payouts are all answered",
  async function (this: World, count: number) {
    const statuses: number[] = [];
    for (let index = 0; index < count; index++) {
      statuses.push(await sendShortPayout(this));
    }
    assert.deepEqual(statuses, new Array(count).fill(200));
  },
);

Given(
  "two idle connections to the runner",
  async function (this: World) {
    const held: ReceivedRequest[] = [];
    setScript(this, (request) => void held.push(request));
    const callers = [
      await sendRequest(this, "/lookup/1"),
      await sendRequest(this, "/lookup/2"),
    ];
    while (held.length < callers.length) await wait(timers, 1);
    for (const { attemptId, socket } of held) {
      socket.write(formatAnswer(attemptId, "done"));
    }
    for (const caller of callers) await caller.waitUntil(hasCompleteAnswer);
  },
);

When(
  "the runner falls silent on its open connections",
  function (this: World) {
    const silent = new Set(listReceived(this).map(({ socket }) => socket));
    setScript(this, ({ attemptId, socket }) => {
      if (!silent.has(socket)) socket.write(formatAnswer(attemptId, "done"));
    });
  },
);

Then(
  "a payout with 100 ms gets status {int} and the next one {int}",
  async function (this: World, first: number, second: number) {
    assert.equal(await sendShortPayout(this), first);
    assert.equal(await sendShortPayout(this), second);
  },
);

function getRunner(world: World, id: string): ScriptedRunner {
  const runner = world.scriptedRunners.get(id);
  assert.ok(runner);
  return runner;
}

Given(
  "runner {string} answers {string} and states that it is leaving",
  function (this: World, id: string, body: string) {
    getRunner(this, id).script = ({ attemptId, socket }) =>
      socket.write(
        `${formatHead(attemptId)}${testHeaders.leaving}: 1\r\n` +
          `Content-Length: ${body.length}\r\n\r\n${body}`,
      );
  },
);

When(
  "callers send lookups until runner {string} has answered one",
  async function (this: World, id: string) {
    while (getRunner(this, id).requests.length === 0) {
      const caller = await sendRequest(this, "/lookup/1");
      await caller.waitUntil(hasCompleteAnswer);
    }
  },
);

Then(
  /^runner "(.+)" got (\d+) requests?$/,
  function (this: World, id: string, count: string) {
    assert.equal(getRunner(this, id).requests.length, Number(count));
  },
);

When(
  "the record of runner {string} is removed and written again",
  async function (this: World, id: string) {
    const { gateway, runners } = this.gatewayUnderTest;
    const { address } = getRunner(this, id);
    const before = gateway.runnerCount;
    runners.put(id, undefined);
    while (gateway.runnerCount === before) await wait(timers, 1);
    runners.put(id, createRunnerRecord(id, address));
    while (gateway.runnerCount < before) await wait(timers, 1);
  },
);

When(
  "runner {string} starts again and answers {string}",
  async function (this: World, id: string, body: string) {
    const { runners } = this.gatewayUnderTest;
    const runner = getRunner(this, id);
    runner.script = ({ attemptId, socket }) =>
      socket.write(formatAnswer(attemptId, body));
    const record = createRunnerRecord(id, runner.address);
    runners.put(id, { ...record, startedAtMs: record.startedAtMs + 1 });
    while (!runners.isCaughtUp) await wait(timers, 1);
  },
);

Given(
  "runner {string} refuses requests and asks for a pause of {int} ms",
  function (this: World, id: string, pauseMs: number) {
    getRunner(this, id).script = ({ attemptId, socket }) =>
      socket.write(
        `HTTP/1.1 503 Busy\r\n${testHeaders.attempt}: ${attemptId}\r\n` +
          `${testHeaders.notRun}: 1\r\n${testHeaders.pause}: ${pauseMs}\r\n` +
          "Content-Length: 0\r\n\r\n",
      );
  },
);

Then(
  "the caller gets status {int} and a retry time of {float} s or more",
  async function (this: World, status: number, seconds: number) {
    const caller = getCaller(this);
    await caller.waitUntil(hasCompleteAnswer);
    assert.equal(getStatus(caller), status);
    const time = /^Retry-After: (\d+\.\d+)\r$/m.exec(caller.text)?.[1];
    assert.ok(Number(time) >= seconds, time);
  },
);

/** What a runner sends first and what it repeats, by description. */
const endlessAnswers: Record<
  string,
  { begin: (attemptId: string) => string; repeated: string }
> = {
  "a header": {
    begin: (id) => `${formatHead(id)}x-long: `,
    repeated: "a".repeat(1024),
  },
  "headers": { begin: formatHead, repeated: "x-more: 1\r\n" },
  "interim answers": {
    begin: () => "",
    repeated: "HTTP/1.1 100 Continue\r\n\r\n",
  },
  "a chunk size": {
    begin: (id) => `${formatHead(id)}Transfer-Encoding: chunked\r\n\r\n1;x=`,
    repeated: "a".repeat(1024),
  },
  "trailers": {
    begin: (id) => `${formatHead(id)}Transfer-Encoding: chunked\r\n\r\n0\r\n`,
    repeated: "x-more: 1\r\n",
  },
  "a body with a length": {
    begin: (id) => `${formatHead(id)}Content-Length: 999999999999\r\n\r\n`,
    repeated: "a".repeat(1024),
  },
  "a body in chunks": {
    begin: (id) => `${formatHead(id)}Transfer-Encoding: chunked\r\n\r\n`,
    repeated: formatChunk("a".repeat(1024)),
  },
  "headers of two bytes": { begin: formatHead, repeated: "a:\r\n" },
  "trailers of two bytes": {
    begin: (id) => `${formatHead(id)}Transfer-Encoding: chunked\r\n\r\n0\r\n`,
    repeated: "a:\r\n",
  },
  "blanks in a header": {
    begin: (id) => `${formatHead(id)}a: b\r\n`,
    repeated: `${" ".repeat(60_000)}\r\n`,
  },
  "blanks in a trailer": {
    begin: (id) =>
      `${formatHead(id)}Transfer-Encoding: chunked\r\n\r\n0\r\na: b\r\n`,
    repeated: `${" ".repeat(60_000)}\r\n`,
  },
  "chunks of one byte with an extension": {
    begin: (id) => `${formatHead(id)}Transfer-Encoding: chunked\r\n\r\n`,
    repeated: `1;${"x".repeat(4096)}\r\na\r\n`,
  },
  "a body without length": {
    begin: (id) => `${formatHead(id)}\r\n`,
    repeated: "a".repeat(1024),
  },
  "answers to other requests": {
    begin: () => "",
    repeated: formatAnswer("another", "a"),
  },
  "a body for another request": {
    begin: () => `${formatHead("another")}Content-Length: 999999999999\r\n\r\n`,
    repeated: "a".repeat(1024),
  },
  "an error in chunks of one byte": {
    begin: (id) =>
      `${formatHead(id, "500 Trouble")}Transfer-Encoding: chunked\r\n\r\n`,
    repeated: formatChunk("a"),
  },
  "a whole body in chunks of one byte": {
    begin: (id) => `${formatHead(id)}Transfer-Encoding: chunked\r\n\r\n`,
    repeated: formatChunk("a"),
  },
  "no HTTP": { begin: () => "", repeated: "a".repeat(1024) },
  "an event": {
    begin: (id) =>
      `${formatHead(id)}Transfer-Encoding: chunked\r\n\r\n` +
      formatChunk("id: 1\ndata: "),
    repeated: formatChunk("a".repeat(1024)),
  },
};

/** Writes until the connection closes, as fast as it is read. */
function sendEndlessly(
  socket: ReceivedRequest["socket"],
  bytes: string,
  onSend: () => void = () => {},
): void {
  const part = bytes.repeat(Math.ceil(65_536 / bytes.length));
  const send = () => {
    while (!socket.destroyed && socket.write(part));
    onSend();
  };
  socket.on("drain", send);
  send();
}

Given(
  /^a runner that sends (.+) without end$/,
  function (this: World, what: string) {
    const answer = endlessAnswers[what];
    assert.ok(answer, what);
    setScript(this, ({ attemptId, socket }) => {
      socket.write(answer.begin(attemptId));
      sendEndlessly(socket, answer.repeated, () => {
        this.memory.observe();
      });
    });
    this.memory = MemoryPeak.create();
  },
);

Then(
  "the connection to the runner is closed before {int} MiB were sent",
  async function (this: World, limitMib: number) {
    const [{ closed, socket }] = listReceived(this);
    await closed;
    assert.ok(socket.bytesWritten < limitMib * 1024 * 1024);
  },
);

Then(
  "the heap grew by less than {int} MiB meanwhile",
  function (this: World, limitMib: number) {
    this.memory.assertHeapBelow(limitMib);
  },
);

Given("each runner has {int} slots", function (this: World, slots: number) {
  const { runners } = this.gatewayUnderTest;
  for (const [id, { address }] of this.scriptedRunners) {
    runners.put(id, { ...createRunnerRecord(id, address), slots });
  }
});

When(
  "{int} callers send {string} at once",
  async function (this: World, count: number, path: string) {
    await wait(timers, 20);
    const sent = Array.from({ length: count }, () => sendRequest(this, path));
    await Promise.all(sent);
  },
);

Then(
  "all their requests end",
  { timeout: 30_000 },
  async function (this: World) {
    await Promise.all(
      this.rawCallers.map((each) => each.waitUntil(hasCompleteAnswer)),
    );
  },
);

Given(
  "a runner that sends {int} MiB of a body and then nothing",
  function (this: World, sizeMib: number) {
    const contents = "a".repeat(sizeMib * 1024 * 1024);
    this.memory = MemoryPeak.create();
    setScript(
      this,
      ({ attemptId, socket }) =>
        socket.write(
          `${formatHead(attemptId)}Content-Length: 999999999\r\n\r\n` +
            contents,
        ),
    );
  },
);

Then("all that runners sent is read or refused", async function (this: World) {
  const isRead = ({ socket }: ReceivedRequest) =>
    socket.destroyed || (socket.bytesWritten > 0 && !socket.writableLength);
  const isAllRead = () => {
    const received = listReceived(this);
    return received.length === this.rawCallers.length &&
      received.every(isRead);
  };
  while (!isAllRead()) await wait(timers, 1);
  // The gateway reads what was written a little later.
  await wait(timers, 300);
});

Then(
  "less than {int} MiB are kept",
  async function (this: World, limitMib: number) {
    // What runners have sent is in this process, too, until it is read.
    while (!this.memory.isLiveBelow(limitMib)) await wait(timers, 50);
  },
);

When("an endless body is sent", async function (this: World) {
  const { callerAddress } = this.gatewayUnderTest.gateway;
  const caller = await RawCaller.create(callerAddress);
  this.rawCallers.push(caller);
  caller.send({
    path: "/lookup/1",
    attemptId: "attempt-endless",
    headers: { "transfer-encoding": "chunked" },
  });
  sendEndlessly(caller.socket, formatChunk("a".repeat(1024)));
});

Then("its connection is closed", async function (this: World) {
  await getCaller(this).waitUntil(({ hasEnded }) => hasEnded);
});

Given(
  "the first runner tried sends event 1 and then a byte every {int} ms, the other resumes",
  function (this: World, periodMs: number) {
    const trickle: Script = ({ attemptId, socket }) => {
      socket.write(
        `${formatHead(attemptId)}Transfer-Encoding: chunked\r\n\r\n` +
          formatChunk(formatEvents([1])),
      );
      const subscription = timers.subscribe(
        periodMs,
        () => socket.write(formatChunk(":")),
      );
      socket.on("close", () => subscription[Symbol.dispose]());
    };
    setScripts(this.scriptedRunners.values(), trickle, resumeAtThird);
  },
);

Given(
  "each runner sends an event in pieces every {int} ms",
  function (this: World, periodMs: number) {
    setScript(this, ({ attemptId, socket }) => {
      socket.write(
        `${formatHead(attemptId)}Transfer-Encoding: chunked\r\n\r\n`,
      );
      void sendInPieces(socket, formatEvents([1, 2, 3, 4]), periodMs);
    });
  },
);

/** Sends events in two pieces each, and then the end of the answer. */
async function sendInPieces(
  socket: ReceivedRequest["socket"],
  events: string,
  periodMs: number,
): Promise<void> {
  for (const event of events.split(/(?<=\n\n)/)) {
    await wait(timers, periodMs / 2);
    socket.write(formatChunk(event.slice(0, 4)));
    await wait(timers, periodMs / 2);
    socket.write(formatChunk(event.slice(4)));
  }
  socket.write("0\r\n\r\n");
}

Given(
  "a gateway that has read nothing yet and a runner that answers {string}",
  async function (this: World, body: string) {
    await this.gatewayUnderTest.gateway[Symbol.asyncDispose]();
    this.gatewayUnderTest = await startTestGateway({
      isStoreUnavailable: true,
    });
    getRunner(this, "first").script = ({ attemptId, socket }) =>
      socket.write(formatAnswer(attemptId, body));
  },
);

When(
  "the gateway reads its first state {int} ms later",
  async function (this: World, delayMs: number) {
    await wait(timers, delayMs);
    const { declarations, runners } = this.gatewayUnderTest;
    const { address } = getRunner(this, "first");
    declarations.put("main", createDeclaration(1));
    runners.put("first", createRunnerRecord("first", address));
    declarations.setUnavailable(false);
    runners.setUnavailable(false);
  },
);

When(
  "a caller sends {string} and disconnects {int} ms later",
  async function (this: World, path: string, delayMs: number) {
    const caller = await sendRequest(this, path);
    await wait(timers, delayMs);
    caller[Symbol.dispose]();
  },
);

Then("the gateway has no open requests", async function (this: World) {
  const { gateway } = this.gatewayUnderTest;
  const answer = await fetch(`http://${gateway.peerAddress}/dump`);
  const dump = await answer.json() as { openRequests: number };
  assert.equal(dump.openRequests, 0);
});
