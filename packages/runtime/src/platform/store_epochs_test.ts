import assert from "node:assert/strict";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { ResultName } from "@jasminetide/core/results";
import {
  type DrainIntent,
  DrainReader,
  PlatformClient,
  type StoredObject,
} from "./mod.ts";

/** What the platform answers to the next requests. */
type Script = {
  epoch: number;
  status: number;
  body: string;
  /** Writes nothing, or the head and a part of the body alone. */
  cut?: "nothing" | "body";
};

type World = {
  scriptedPlatform: Server;
  address: string;
  script: Script;
  requests: IncomingMessage[];
  client: PlatformClient;
  told: string[];
  stored: StoredObject;
  waiting: Promise<unknown>[];
  drainReader: DrainReader;
};

const object = { kind: "k", name: "a" };
const version = 7;

/** Longer than a scenario may take: no call may end by its timeout. */
const longTimeoutMs = 60_000;
const body = "value";

function answer(script: Script, response: ServerResponse): void {
  if (script.cut === "nothing") return;
  response.writeHead(script.status, {
    etag: `"${version}"`,
    "store-epoch": String(script.epoch),
    ...(script.cut === "body" ? { "content-length": "100" } : {}),
  });
  if (script.cut === "body") response.write("part");
  else response.end(script.status === 304 ? undefined : script.body);
}

function createClient(world: World): PlatformClient {
  const client = PlatformClient.create({
    address: world.address,
    timeoutMs: longTimeoutMs,
  });
  client.subscribeRestored(({ before, epoch }) =>
    void world.told.push(`${before} to ${epoch}`)
  );
  return client;
}

/** Makes the platform answer the next requests as given. */
function setScript(world: World, script: Partial<Script>): void {
  world.script = { epoch: 0, status: 200, body, ...script };
}

async function read(world: World): Promise<StoredObject> {
  const stored = await world.client.get(object);
  assert.ok(stored !== undefined);
  return stored;
}

Given(
  "a platform client that has an answer of epoch 0",
  async function (this: World) {
    this.told = [];
    this.requests = [];
    this.waiting = [];
    setScript(this, {});
    this.scriptedPlatform = createServer((request, response) => {
      this.requests.push(request);
      request.resume();
      answer(this.script, response);
    });
    this.scriptedPlatform.listen(0, "127.0.0.1");
    await once(this.scriptedPlatform, "listening");
    const { port } = this.scriptedPlatform.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
    this.client = createClient(this);
    await read(this);
  },
);

After(async function (this: World) {
  if (this.scriptedPlatform === undefined || this.client === undefined) return;
  if (!(this.client instanceof PlatformClient)) return;
  await this.client[Symbol.asyncDispose]();
  this.scriptedPlatform.closeAllConnections?.();
  this.scriptedPlatform.close();
});

Given("a platform client without an answer", async function (this: World) {
  await this.client[Symbol.asyncDispose]();
  this.client = createClient(this);
});

type Call = {
  script: Partial<Script>;
  run: (client: PlatformClient) => Promise<unknown>;
};

const put = { value: body, condition: "absent" } as const;
const get = (client: PlatformClient) => client.get(object);

const calls: { [answer: string]: Call } = {
  "a read": { script: {}, run: get },
  "a read of a lost object": { script: { status: 404 }, run: get },
  "a write": { script: {}, run: (client) => client.put(object, put) },
  "a refused write": {
    script: { status: 412 },
    run: (client) => client.put(object, put),
  },
  "a money write": {
    script: {},
    run: (client) => client.putMoney(object, { ...put, timeoutMs: 2000 }),
  },
  "a limited read": { script: { status: 429 }, run: get },
  "a failed read": { script: { status: 500 }, run: get },
  "a list": { script: { body: "[]" }, run: (client) => client.list("k") },
  "a watch without change": {
    script: { status: 304 },
    run: (client) =>
      client.watch(object, {
        after: { epoch: 0, revision: version },
        timeoutMs: 2000,
      }),
  },
  "the host list": {
    script: { body: "[]" },
    run: (client) => client.loadHosts(),
  },
};

When(
  /^(a .*|the host list) states epoch (\d+)$/,
  async function (this: World, name: string, epoch: string) {
    const { run, script } = calls[name];
    setScript(this, { ...script, epoch: Number(epoch) });
    await Promise.allSettled([run(this.client)]);
  },
);

When(
  "the store states epoch {int} from now on",
  function (this: World, epoch: number) {
    setScript(this, { epoch });
  },
);

Then("the client told {string}", function (this: World, told: string) {
  assert.equal(this.told.join(", "), told);
});

Then("objects are at epoch {int}", async function (this: World, epoch: number) {
  assert.deepEqual((await read(this)).position, { epoch, revision: version });
  assert.equal(this.client.epoch, epoch);
});

Then(
  "a read that states epoch {int} fails with {string}",
  async function (this: World, epoch: number, result: ResultName) {
    setScript(this, { epoch });
    await assert.rejects(read(this), { result });
  },
);

/** Starts a call and waits until the platform has received it. */
async function startCall(
  world: World,
  run: () => Promise<unknown>,
): Promise<void> {
  const count = world.requests.length;
  const call = run();
  call.catch(() => {});
  world.waiting.push(call);
  while (world.requests.length === count) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

Given("a watch that gets no answer", async function (this: World) {
  setScript(this, { cut: "nothing" });
  const after = { epoch: 0, revision: version };
  await startCall(
    this,
    () => this.client.watch(object, { after, timeoutMs: 60_000 }),
  );
});

Given(
  "a read whose answer of epoch 0 is not complete",
  async function (this: World) {
    setScript(this, { cut: "body" });
    await startCall(this, () => read(this));
    // The head of the incomplete answer arrives before a later answer does.
    setScript(this, {});
    await read(this);
  },
);

Then(
  "the watch and the incomplete read fail with {string}",
  async function (this: World, result: ResultName) {
    assert.equal(this.waiting.length, 2);
    for (const call of this.waiting) await assert.rejects(call, { result });
  },
);

Given("an object that was read", async function (this: World) {
  this.stored = await read(this);
});

When(
  "the object is written at the position where it was read",
  async function (this: World) {
    const { position } = this.stored;
    setScript(this, { epoch: 1, status: 412 });
    const write = this.client.put(object, {
      value: body,
      condition: { position },
    });
    await assert.rejects(write, { result: "versionConflict" });
  },
);

Then(
  "the write has stated that it expects epoch {int}",
  function (this: World, epoch: number) {
    const headers = this.requests.at(-1)?.headers;
    assert.equal(headers?.["store-epoch"], String(epoch));
    assert.equal(headers?.["if-match"], `"${version}"`);
  },
);

Then(
  "its write that states epoch {int} fails with {string}",
  async function (this: World, epoch: number, result: ResultName) {
    setScript(this, { epoch });
    const { position } = this.stored;
    const write = this.client.put(object, {
      value: body,
      condition: { position },
    });
    await assert.rejects(write, { result });
  },
);

Then(
  "its money write that states epoch {int} is lost",
  async function (this: World, epoch: number) {
    setScript(this, { epoch });
    const { position } = this.stored;
    const result = await this.client.putMoney(object, {
      value: body,
      condition: { position },
      timeoutMs: 2000,
    });
    assert.deepEqual(result, { type: "lost" });
  },
);

When(
  "the store was restored and a watch after the object is expired",
  async function (this: World) {
    const { position: after } = this.stored;
    this.scriptedPlatform.removeAllListeners("request");
    this.scriptedPlatform.on("request", (request, response) => {
      const isWatch = String(request.url).includes("watch=1");
      const status = isWatch ? 410 : 200;
      answer({ epoch: 1, status, body: isWatch ? "" : body }, response);
    });
    const watch = this.client.watch(object, { after, timeoutMs: 2000 });
    this.waiting.push(watch);
    await watch;
  },
);

Then(
  "the watch returns the object of epoch {int}",
  async function (this: World, epoch: number) {
    const [watch] = this.waiting;
    const position = { epoch, revision: version };
    assert.deepEqual(await watch, { position, value: body });
  },
);

function createIntent(reason: string): DrainIntent {
  return {
    target: "host",
    name: "h1",
    state: "draining",
    reason,
    requestedAtMs: 1,
  };
}

/** Answers lists and reads of one drain, always of the same version. */
function serveDrain(world: World, epoch: number, reason: string): void {
  world.scriptedPlatform.removeAllListeners("request");
  world.scriptedPlatform.on("request", (request, response) => {
    const isList = String(request.url).endsWith("/drains");
    const body = isList
      ? JSON.stringify([{ name: "host-h1", version }])
      : JSON.stringify(createIntent(reason));
    answer({ epoch, status: 200, body }, response);
  });
}

Given("drains that were read", async function (this: World) {
  serveDrain(this, 0, "before");
  this.drainReader = DrainReader.create(this.client);
  assert.deepEqual(await this.drainReader.load(), [createIntent("before")]);
});

When(
  "the drains change and the store states epoch {int} with the same versions",
  function (this: World, epoch: number) {
    serveDrain(this, epoch, "after");
  },
);

Then("the drains are read again", async function (this: World) {
  assert.deepEqual(await this.drainReader.load(), [createIntent("after")]);
});
