import type { Model } from "@jasminetide/core/configuration";
import type { EngineState } from "@jasminetide/core/membership";
import type { Dispatcher } from "undici";
import { z } from "zod";

const engineStateSchema = z.object({
  role: z.enum(["mixed", "prefill", "decode"]),
  models: z.record(
    z.string(),
    z.object({
      version: z.string(),
      adapters: z.array(z.string()),
      /** Wall time in milliseconds since 1970. */
      readyAtMs: z.number(),
    }),
  ),
});

/** Time within which an engine must begin to answer a read of its state. */
const readTimeoutMs = 1000;

/** Loads an engine's state, or undefined if it does not report one. */
export async function loadEngineState(
  runner: Dispatcher,
  nowMs: number,
): Promise<EngineState | undefined> {
  try {
    const answer = await runner.request({
      method: "GET",
      path: "/state",
      headersTimeout: readTimeoutMs,
    });
    const state = engineStateSchema.safeParse(await answer.body.json());
    return state.success ? createState(state.data, nowMs) : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Lists the declared models that an engine has ready. An engine may report a
 * model under the name in `engineModel`.
 */
export function listServedModels(
  state: EngineState,
  models: readonly Model[],
): string[] {
  const ready = new Set(
    state.models.filter(({ isReady }) => isReady).map(({ name }) => name),
  );
  return models
    .filter(({ engineModel, name }) =>
      ready.has(name) || (engineModel !== undefined && ready.has(engineModel))
    )
    .map(({ name }) => name);
}

function createState(
  state: z.output<typeof engineStateSchema>,
  nowMs: number,
): EngineState {
  return {
    role: state.role,
    models: Object.entries(state.models).map(([name, model]) => ({
      name,
      version: model.version,
      adapters: model.adapters,
      isReady: model.readyAtMs <= nowMs,
    })),
  };
}
