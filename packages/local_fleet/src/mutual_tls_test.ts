import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { Problem } from "@jasminetide/core/results";
import { fetchDump } from "@jasminetide/operator/connection";
import {
  type Certificate,
  type CertificateDates,
  CertificateFolder,
  createAuthority,
} from "@jasminetide/testing/certificates";
import { Agent, request } from "undici";
import type { LocalFleet } from "./local_fleet.ts";
import { callerKey, getUrl, startTestFleet } from "./test_fleet.ts";

const dayMs = 86_400_000;

type World = {
  fleet: LocalFleet;
  certificateFolder: CertificateFolder;
  authority: Certificate;
  problem: Problem;
};

After(async function (this: World) {
  await this.certificateFolder?.[Symbol.asyncDispose]();
});

async function startSecureFleet(
  world: World,
  dates: { router?: CertificateDates; sidecar?: CertificateDates } = {},
): Promise<void> {
  world.certificateFolder = await CertificateFolder.create();
  world.authority = await createAuthority();
  const { authority, certificateFolder } = world;
  const tls = await certificateFolder.write(
    "sidecar",
    authority,
    dates.sidecar,
  );
  const routerTls = await certificateFolder.write(
    "router",
    authority,
    dates.router,
  );
  world.fleet = await startTestFleet({
    changeDefinition: ({ routers, sidecars, ...rest }) => ({
      ...rest,
      routers: routers.map((router) => ({ ...router, tls: routerTls })),
      sidecars: sidecars.map((sidecar) => ({ ...sidecar, tls })),
    }),
  });
}

Given(
  "a local fleet with certificates in its settings",
  function (this: World) {
    return startSecureFleet(this);
  },
);

Given(
  /^a local fleet whose (router|sidecar)s have expired certificates$/,
  function (this: World, type: "router" | "sidecar") {
    return startSecureFleet(this, {
      [type]: {
        notBeforeDate: new Date(Date.now() - 2 * dayMs),
        notAfterDate: new Date(Date.now() - dayMs),
      },
    });
  },
);

When(
  "a caller of the fleet requests a chat of two tokens",
  async function (this: World) {
    const response = await fetch(getUrl(this.fleet, "/v1/chat/completions"), {
      method: "POST",
      headers: { authorization: `Bearer ${callerKey}` },
      body: JSON.stringify({
        model: "assistant",
        messages: [{ role: "user", content: "hello" }],
        max_tokens: 2,
      }),
    });
    this.problem = await response.json() as Problem;
  },
);

Then(
  "the caller receives code {int} and executed {string}",
  function (this: World, code: number, executed: string) {
    assert.deepEqual(
      [this.problem.code, this.problem.executed],
      [code, executed],
    );
  },
);

When(
  "a client without a certificate sends a forged attempt to a sidecar",
  async function (this: World) {
    const dispatcher = new Agent({ connect: { ca: this.authority.cert } });
    const { dataAddress } = this.fleet.sidecars[0];
    const { body } = await request(
      `https://${dataAddress}/v1/chat/completions`,
      { dispatcher, method: "POST", headers: { "jt-attempt": "forged" } },
    );
    this.problem = await body.json() as Problem;
    await dispatcher.close();
  },
);

Then(
  "the forged attempt is refused with code {int} and executed {string}",
  function (this: World, code: number, executed: string) {
    assert.deepEqual(
      [this.problem.code, this.problem.executed],
      [code, executed],
    );
  },
);

Then(
  "an operator with the authority's certificate gets each process's dump",
  async function (this: World) {
    const { routers, sidecars } = this.fleet;
    for (const { controlAddress, settings } of [...routers, ...sidecars]) {
      const dump = await fetchDump(controlAddress, {
        operatorKey: "local-operator",
        authority: this.authority.cert,
      });
      const { process } = dump as { process: { name: string } };
      assert.equal(process.name, settings.name);
    }
  },
);
