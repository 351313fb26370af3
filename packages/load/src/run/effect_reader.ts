import { AppError } from "@jasminetide/core/results";
import { request } from "undici";
import { z } from "zod";
import type { HistoryEvent } from "../history/mod.ts";

const effectsSchema = z.object({
  /** Number of effects by idempotency key. */
  byKey: z.record(z.string(), z.number().int().nonnegative()),
});

/**
 * Records which keys took effect at a stand-in service.
 *
 * @throws AppError `runnerFailed` if the service does not report its effects.
 */
export async function recordEffects(
  address: string,
  record: (event: HistoryEvent) => void,
): Promise<void> {
  const { byKey } = await loadEffects(address);
  for (const [key, count] of Object.entries(byKey)) {
    for (let effect = 0; effect < count; effect += 1) {
      record({ type: "effect", runner: address, key });
    }
  }
}

async function loadEffects(address: string) {
  try {
    const answer = await request(`http://${address}/effects`);
    return effectsSchema.parse(await answer.body.json());
  } catch (cause) {
    throw AppError.create(
      "runnerFailed",
      `Service at ${address} does not report its effects`,
      { cause },
    );
  }
}
