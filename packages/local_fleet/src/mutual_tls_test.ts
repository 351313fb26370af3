import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { Problem } from "@jasminetide/core/results";
import { fetchDump } from "@jasminetide/operator/connection";
import {
  type Certificate,
  CertificateFolder,
  createAuthority,
} from "@jasminetide/testing/certificates";
import { Agent, request } from "undici";
import type { LocalFleet } from "./local_fleet.ts";
import { startTestFleet } from "./test_fleet.ts";

type World = {
  fleet: LocalFleet;
  fleetFolder: CertificateFolder;
  authority: Certificate;
  problem: Problem;
};

After(async function (this: World) {
  await this.fleetFolder?.[Symbol.asyncDispose]();
});

Given(
  "a local fleet with certificates in its settings",
  async function (this: World) {
    this.fleetFolder = await CertificateFolder.create();
    this.authority = await createAuthority();
    const tls = await this.fleetFolder.write("process", this.authority);
    this.fleet = await startTestFleet({
      change: (definition) => ({
        ...definition,
        routers: definition.routers.map((router) => ({ ...router, tls })),
        sidecars: definition.sidecars.map((sidecar) => ({ ...sidecar, tls })),
      }),
    });
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
  "an operator with the authority's file gets the dump of each process",
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
