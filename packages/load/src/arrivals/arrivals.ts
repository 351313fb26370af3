import type { RandomSource } from "@jasminetide/core/random";
import type {
  ChatMix,
  LookupMix,
  Mix,
  MoneyMix,
  Range,
} from "../scenario/mod.ts";

/** One turn of a chat. */
export type ChatTurn = {
  /** Time from the intended start of the previous turn to that of this one. */
  pauseMs: number;
  message: string;
  answerTokens: number;
};

/** A chat or call that a caller starts at its due time. */
export type Arrival =
  | {
    kind: "chat";
    dueMs: number;
    mix: ChatMix;
    systemPrompt: string;
    turns: ChatTurn[];
  }
  | { kind: "lookup"; dueMs: number; mix: LookupMix; account: string }
  | {
    kind: "money";
    dueMs: number;
    mix: MoneyMix;
    account: string;
    amount: number;
    hasKey: boolean;
    /** How often the same call is sent, concurrently. */
    sendCount: number;
  };

const maxAmount = 500;

/** Draws an endless sequence of arrivals of a mix, in order of due time. */
export function* drawArrivals(
  mix: Mix,
  random: RandomSource,
): Generator<Arrival, never> {
  let dueMs = 0;
  let count = 0;
  for (;;) {
    // Exponentially distributed gaps yield a Poisson process.
    dueMs += -Math.log(1 - random.getFloat()) * 1000 / mix.ratePerSecond;
    count += 1;
    yield drawArrival(mix, { random, dueMs, count });
  }
}

type DrawOptions = { random: RandomSource; dueMs: number; count: number };

function drawArrival(mix: Mix, options: DrawOptions): Arrival {
  const { random, dueMs } = options;
  switch (mix.kind) {
    case "chat":
      return drawChat(mix, options);
    case "lookup":
      return { kind: "lookup", dueMs, mix, account: drawAccount(mix, random) };
    case "money":
      return {
        kind: "money",
        dueMs,
        mix,
        account: drawAccount(mix, random),
        amount: 1 + random.getInteger(maxAmount),
        hasKey: random.getFloat() >= mix.keylessRatio,
        sendCount: random.getFloat() < mix.repeatRatio ? 2 : 1,
      };
  }
}

function drawChat(mix: ChatMix, options: DrawOptions): Arrival {
  const { random, dueMs, count } = options;
  const turnCount = Math.max(1, drawInteger(mix.turns, random));
  const turns = Array.from({ length: turnCount }, (_, index) => ({
    pauseMs: index === 0 ? 0 : drawInteger(mix.pauseMs, random),
    message: createText(
      `${mix.name} chat ${count} turn ${index}.`,
      drawInteger(mix.messageCharacters, random),
    ),
    answerTokens: Math.max(1, drawInteger(mix.answerTokens, random)),
  }));
  const systemPrompt = createText(
    `System prompt of ${mix.workspace}.`,
    mix.systemPromptCharacters,
  );
  return { kind: "chat", dueMs, mix, systemPrompt, turns };
}

function drawAccount(mix: { accounts: number }, random: RandomSource): string {
  return `account-${random.getInteger(mix.accounts)}`;
}

function drawInteger(range: Range, random: RandomSource): number {
  const span = Math.floor(range.maximum) - Math.ceil(range.minimum) + 1;
  return Math.ceil(range.minimum) + random.getInteger(Math.max(1, span));
}

/** Creates text with a unique start, padded to at least a given length. */
function createText(start: string, characters: number): string {
  return `${start} `.padEnd(characters, "Where do we go next? ");
}
