/** Prompts of the callers' stream requests. */
import { randomBytes } from "node:crypto";
import type { RandomSource } from "@jasminetide/core/random";
import type { PromptPart } from "@jasminetide/gateway";

/** Part that crashes each runner which begins an answer on it. */
export const crashingPart: PromptPart = { id: "c4a54", tokens: 120 };

const firstParts: readonly PromptPart[] = [
  { id: "a1", tokens: 800 },
  { id: "a2", tokens: 400 },
  { id: "a3", tokens: 1200 },
];

const secondParts: readonly PromptPart[] = [
  { id: "b1", tokens: 90 },
  { id: "b2", tokens: 200 },
];

const ownTokens = 60;

/** Draws a prompt of two shared parts and one of its own. */
export function drawPrompt(random: RandomSource): PromptPart[] {
  return [
    firstParts[random.getInteger(firstParts.length)],
    secondParts[random.getInteger(secondParts.length)],
    { id: randomBytes(6).toString("hex"), tokens: ownTokens },
  ];
}

/** Draws a prompt that has the crashing part at any place but the last. */
export function drawCrashingPrompt(random: RandomSource): PromptPart[] {
  const prompt = drawPrompt(random);
  return prompt.toSpliced(random.getInteger(prompt.length), 0, crashingPart);
}

/** Whether the ids of a prompt's parts contain the crashing one. */
export function hasCrashingPart(partIds: readonly string[] = []): boolean {
  return partIds.slice(0, -1).includes(crashingPart.id);
}
