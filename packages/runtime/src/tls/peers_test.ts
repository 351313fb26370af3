import assert from "node:assert/strict";
import { once } from "node:events";
import { createHash, X509Certificate } from "node:crypto";
import { writeFile } from "node:fs/promises";
import { connect as connectPlain } from "node:net";
import type { IncomingMessage } from "node:http";
import { connect as connectSecure, TLSSocket } from "node:tls";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimerService } from "@jasminetide/core/timers";
import {
  type Certificate,
  CertificateFolder,
  createAuthority,
  createCertificate,
} from "@jasminetide/testing/certificates";
import { Agent, type Dispatcher, request } from "undici";
import {
  createPeerProcedures,
  PeerClients,
  startControlServer,
} from "../control/mod.ts";
import { ResourceStack } from "../disposal/mod.ts";
import type { ListeningServer } from "../http/mod.ts";
import {
  createSilentLogger,
  type LogFields,
  type Logger,
} from "../logging/mod.ts";
import { parseAddress } from "../settings/mod.ts";
import { PeerCredentials, type TlsFiles } from "./mod.ts";

const operatorKey = "key of the operators";
const dayMs = 86_400_000;

type Line = { event: string; fields: LogFields };
type Answer = { status: number; code?: number; members?: unknown };

type World = {
  tlsResources: ResourceStack;
  certificates: CertificateFolder;
  timers: VirtualTimerService;
  lines: Line[];
  authority: Certificate;
  listener: ListeningServer;
  serverCredentials: PeerCredentials;
  serverFiles: TlsFiles;
  clientCredentials: PeerCredentials;
  clientFiles: TlsFiles;
  peers: PeerClients;
  answer: Answer;
  failure: unknown;
  idle: TLSSocket;
};

function createRecordingLogger(lines: Line[]): Logger {
  const write = (event: string, fields: LogFields = {}) => {
    lines.push({ event, fields });
  };
  return { ...createSilentLogger(), warn: write, error: write };
}

function listLines(world: World, event: string): Line[] {
  return world.lines.filter((line) => line.event === event);
}

/** Sends a request over a new connection and returns its answer. */
async function requestOver(
  world: World,
  path: string,
  options: { connect: Agent.Options["connect"]; key?: string },
): Promise<Answer> {
  const dispatcher: Dispatcher = new Agent({ connect: options.connect });
  try {
    const { statusCode, body } = await request(
      `https://${world.listener.address}${path}`,
      {
        dispatcher,
        headers: options.key === undefined
          ? {}
          : { authorization: `Bearer ${options.key}` },
      },
    );
    const { code } = await body.json() as { code?: number };
    return { status: statusCode, code };
  } finally {
    await dispatcher.close();
  }
}

async function requestMembers(
  world: World,
  connect: Agent.Options["connect"],
): Promise<void> {
  world.answer = await requestOver(world, "/rpc/getMembers", { connect });
}

After(async function (this: World) {
  await this.tlsResources?.[Symbol.asyncDispose]();
});

Given(
  "a control listener with a certificate of the fleet's authority",
  async function (this: World) {
    this.tlsResources = ResourceStack.create();
    this.certificates = this.tlsResources.use(await CertificateFolder.create());
    this.lines = [];
    this.timers = VirtualTimerService.create();
    this.authority = await createAuthority();
    const { authority, certificates, timers } = this;
    this.serverFiles = await certificates.write("server", authority);
    this.clientFiles = await certificates.write("client", authority);
    const logger = createRecordingLogger(this.lines);
    this.serverCredentials = this.tlsResources.use(
      await PeerCredentials.create({ files: this.serverFiles, timers, logger }),
    );
    this.listener = this.tlsResources.use(
      await startControlServer({
        address: "127.0.0.1:0",
        credentials: this.serverCredentials,
        logger,
        operatorKeyHash: createHash("sha256").update(operatorKey).digest("hex"),
        getDump: () => ({ state: "dump" }),
        router: createPeerProcedures({
          getConfiguration: () => undefined,
          getMembers: () => [],
          getParts: () => ({}),
          isDutyHeld: () => false,
        }),
      }),
    );
    this.clientCredentials = this.tlsResources.use(
      await PeerCredentials.create({
        files: this.clientFiles,
        timers,
        logger: createSilentLogger(),
      }),
    );
    this.peers = this.tlsResources.use(
      PeerClients.create({ credentials: this.clientCredentials }),
    );
  },
);

When(
  "a peer with a certificate of the same authority requests the members",
  async function (this: World) {
    const { address } = this.listener;
    const members = await this.peers.get(address).getMembers.query();
    this.answer = { status: 200, members };
  },
);

Then("the peer is served over TLS", async function (this: World) {
  const { address } = this.listener;
  assert.deepEqual(await this.peers.get(address).getMembers.query(), []);
});

Then("no refusal of a peer is logged", function (this: World) {
  assert.deepEqual(listLines(this, "peer-refused"), []);
});

When("a peer with no certificate requests the members", async function (
  this: World,
) {
  await requestMembers(this, { ca: this.authority.cert });
});

When(
  /^a peer with a certificate of another authority( of the same name)? requests the members$/,
  async function (this: World, sameName: string | null) {
    const name = sameName === null ? "another" : "authority";
    const other = await createCertificate(await createAuthority(name));
    const ca = this.authority.cert;
    await requestMembers(this, { ca, cert: other.cert, key: other.key });
  },
);

When("a peer with an expired certificate requests the members", async function (
  this: World,
) {
  const expired = await createCertificate(this.authority, {
    notBeforeDate: new Date(Date.now() - 2 * dayMs),
    notAfterDate: new Date(Date.now() - dayMs),
  });
  const ca = this.authority.cert;
  await requestMembers(this, { ca, cert: expired.cert, key: expired.key });
});

Then(
  "the peer is refused with code {int}",
  function (this: World, code: number) {
    assert.deepEqual(this.answer, { status: 403, code });
  },
);

Then(
  "one refusal of a peer is logged with the reason {word}",
  function (this: World, reason: string) {
    const lines = listLines(this, "peer-refused");
    assert.deepEqual(lines.map(({ fields }) => fields.reason), [reason]);
    assert.equal(lines[0].fields.code, 6004);
  },
);

When("a peer requests the members without TLS", async function (this: World) {
  const { ip, port } = parseAddress(this.listener.address);
  const refused = once(this.listener.server, "tlsClientError");
  const socket = connectPlain(port, ip);
  socket.on("error", () => {});
  const closed = new Promise((resolve) => socket.once("close", resolve));
  socket.resume();
  socket.write("GET /rpc/getMembers HTTP/1.1\r\nhost: peer\r\n\r\n");
  await refused;
  await closed;
  this.answer = { status: socket.bytesRead };
});

Then("the peer's connection is closed", function (this: World) {
  assert.equal(this.answer.status, 0);
});

When(
  "a peer that trusts another authority requests the members",
  async function (this: World) {
    const other = await createAuthority("another");
    const { cert, key } = this.clientCredentials.material;
    let hasRequest = false;
    this.listener.server.once("request", () => hasRequest = true);
    await requestMembers(this, { ca: other.cert, cert, key }).catch((error) => {
      this.failure = error;
    });
    assert.equal(hasRequest, false);
  },
);

Then("the peer does not send its request", function (this: World) {
  assert.match(String((this.failure as Error).message), /certificate/);
});

When(
  /^an operator without a certificate requests the dump with (the|a wrong) key$/,
  async function (this: World, which: string) {
    this.answer = await requestOver(this, "/dump", {
      connect: { ca: this.authority.cert },
      key: which === "the" ? operatorKey : "wrong",
    });
  },
);

Then("the operator gets the dump", function (this: World) {
  assert.equal(this.answer.status, 200);
});

Then(
  "the operator is refused with code {int}",
  function (this: World, code: number) {
    assert.deepEqual(this.answer, { status: 401, code });
  },
);

Given("a peer that was served", async function (this: World) {
  const { address } = this.listener;
  assert.deepEqual(await this.peers.get(address).getMembers.query(), []);
});

When(
  "the files of both are renewed with a new authority",
  async function (this: World) {
    const authority = await createAuthority();
    await this.certificates.write("server", authority);
    await this.certificates.write("client", authority);
    this.authority = authority;
  },
);

When(
  "the reload period of the files has passed",
  async function (this: World) {
    const renewed = [this.serverCredentials, this.clientCredentials].map((
      credentials,
    ) =>
      new Promise<void>((resolve) => credentials.subscribe(() => resolve()))
    );
    this.timers.advance(10_000);
    await Promise.all(renewed);
  },
);

Then("both present the renewed certificates", async function (this: World) {
  const arrived = once(this.listener.server, "request");
  const { address } = this.listener;
  await this.peers.get(address).getMembers.query();
  const [{ socket }] = await arrived as [IncomingMessage];
  assert.ok(socket instanceof TLSSocket);
  const { cert } = this.clientCredentials.material;
  const { fingerprint256 } = new X509Certificate(cert);
  assert.equal(socket.getPeerCertificate().fingerprint256, fingerprint256);
  await requestMembers(this, { ca: this.authority.cert });
  assert.equal(this.answer.code, 6004);
});

When(
  "the listener's key is renewed without its certificate",
  async function (this: World) {
    const other = await createCertificate(this.authority);
    await writeFile(this.serverFiles.keyFile, other.key);
    await this.serverCredentials.reload();
    await this.serverCredentials.reload();
  },
);

Then(
  "a failed reload is logged once with code {int}",
  function (this: World, code: number) {
    const lines = listLines(this, "certificates-not-reloaded");
    assert.deepEqual(lines.map(({ fields }) => fields.code), [code]);
  },
);

Given(
  "a connection over TLS that has sent nothing",
  async function (this: World) {
    const { ip, port } = parseAddress(this.listener.address);
    const accepted = once(this.listener.server, "secureConnection");
    const { material } = this.clientCredentials;
    this.idle = connectSecure({ host: ip, port, ...material });
    await accepted;
  },
);

When("the listener for mutual TLS stops", async function (this: World) {
  await this.listener.close();
});

Then("the connection over TLS is closed", async function (this: World) {
  if (!this.idle.destroyed) await once(this.idle, "close");
});
