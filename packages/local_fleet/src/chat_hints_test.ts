import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { getChatKey } from "@jasminetide/core/routing";
import { PeerClients } from "@jasminetide/runtime/control";
import { createAnswerTokens } from "@jasminetide/stand_in";
import type { LocalFleet } from "./local_fleet.ts";
import { callerKey, getUrl } from "./test_fleet.ts";

type World = { fleet: LocalFleet; holders: string[]; answeredBy: string[] };

const chat = {
  model: "assistant",
  messages: [{ role: "user" as const, content: "say where" }],
  max_tokens: 2,
};

/** Exceeds the tokens of a turn, so that each claim supersedes the last. */
const tokenIncrement = 10_000;

/** Claims a chat for a runner at all sidecars; only the home stores it. */
async function sendClaims(
  world: World,
  claim: { runner: string; tokens: number },
): Promise<void> {
  await using peers = PeerClients.create();
  const chatKey = getChatKey({ ...chat, workspace: "local" }).toString(16);
  for (const { controlAddress } of world.fleet.sidecars) {
    const client = peers.getSidecar(controlAddress);
    await client.claimChats.mutate([{ chatKey, ...claim }]);
  }
}

function countTurns(world: World): Map<string, number> {
  return new Map(world.fleet.sidecars.map((sidecar) => {
    const { counters } = sidecar.getMetrics();
    return [sidecar.runner, counters["chat-turns"] ?? 0];
  }));
}

async function runTurn(world: World): Promise<string> {
  const before = countTurns(world);
  const response = await fetch(getUrl(world.fleet, "/v1/chat/completions"), {
    method: "POST",
    headers: { authorization: `Bearer ${callerKey}` },
    body: JSON.stringify(chat),
  });
  const { choices } = await response.json() as {
    choices: { message: { content: string } }[];
  };
  const expected = createAnswerTokens(chat).join("");
  assert.equal(choices[0].message.content, expected);
  const after = [...countTurns(world)];
  const answered = after.find(([id, count]) => count > (before.get(id) ?? 0));
  return answered?.[0] ?? "";
}

When(
  "each assistant runner in turn claims a chat",
  async function (this: World) {
    this.holders = [...this.fleet.engines.keys()];
    this.answeredBy = [];
    let tokens = 0;
    for (const runner of this.holders) {
      tokens += tokenIncrement;
      await sendClaims(this, { runner, tokens });
      this.answeredBy.push(await runTurn(this));
    }
  },
);

Then(
  "the holder answers each of its turns, and all but one were redirected",
  function (this: World) {
    assert.deepEqual(this.answeredBy, this.holders);
    const { counters } = this.fleet.routers[0].getMetrics();
    assert.equal(counters["chats-redirected"], this.holders.length - 1);
  },
);
