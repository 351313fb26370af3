import assert from "node:assert/strict";
import { X509Certificate } from "node:crypto";
import { TLSSocket } from "node:tls";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { VirtualTimerService } from "@jasminetide/core/timers";
import { ResourceStack } from "@jasminetide/runtime/disposal";
import {
  type ListeningServer,
  refusePeer,
  sendJson,
  startServer,
} from "@jasminetide/runtime/http";
import { createSilentLogger } from "@jasminetide/runtime/logging";
import { PeerCredentials } from "@jasminetide/runtime/tls";
import {
  CertificateFolder,
  createAuthority,
} from "@jasminetide/testing/certificates";
import { Connections } from "./connections.ts";

type World = {
  secureResources: ResourceStack;
  secureFolder: CertificateFolder;
  listenerCredentials: PeerCredentials;
  routerCredentials: PeerCredentials;
  peerListener: ListeningServer;
  connections: Connections;
  status: number;
  seenFingerprint: string;
};

After(async function (this: World) {
  await this.secureResources?.[Symbol.asyncDispose]();
});

Given(
  "a listener for peers and a router's connections to it",
  async function (this: World) {
    const resources = ResourceStack.create();
    this.secureResources = resources;
    this.secureFolder = resources.use(await CertificateFolder.create());
    const authority = await createAuthority();
    const timers = VirtualTimerService.create();
    const logger = createSilentLogger();
    const load = async (name: string) => {
      const files = await this.secureFolder.write(name, authority);
      const options = { files, timers, logger };
      return resources.use(await PeerCredentials.create(options));
    };
    this.listenerCredentials = await load("listener");
    this.routerCredentials = await load("router");
    const secure = { credentials: this.listenerCredentials, logger };
    this.peerListener = resources.use(
      await startServer("127.0.0.1:0", (request, response) => {
        if (refusePeer(request, response, secure)) return;
        assert.ok(request.socket instanceof TLSSocket);
        const { fingerprint256 } = request.socket.getPeerCertificate();
        this.seenFingerprint = fingerprint256;
        sendJson(response, {});
      }, secure),
    );
    this.connections = resources.use(
      Connections.createSecure(this.routerCredentials),
    );
  },
);

When(
  "a request is sent to the listener for peers",
  async function (this: World) {
    const pool = this.connections.get(this.peerListener.address);
    const { statusCode, body } = await pool.request({
      method: "GET",
      path: "/",
    });
    await body.dump();
    this.status = statusCode;
  },
);

Then(
  "the listener for peers sees the current certificate",
  function (this: World) {
    const { cert } = this.routerCredentials.material;
    assert.equal(this.status, 200);
    assert.equal(
      this.seenFingerprint,
      new X509Certificate(cert).fingerprint256,
    );
  },
);

When(
  "both ends reload certificates of a new authority",
  async function (this: World) {
    const authority = await createAuthority("new authority");
    await this.secureFolder.write("listener", authority);
    await this.secureFolder.write("router", authority);
    await this.listenerCredentials.reload();
    await this.routerCredentials.reload();
  },
);
