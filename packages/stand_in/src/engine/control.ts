import type { IncomingMessage, ServerResponse } from "node:http";
import { AppError } from "@jasminetide/core/results";
import { sendJson } from "@jasminetide/runtime/http";
import { z } from "zod";
import type { EngineDriver } from "./engine_driver.ts";
import { type EngineFaults, engineFaultsSchema } from "./faults.ts";
import { engineOrderSchema } from "./model/mod.ts";

const blocksSchema = z.strictObject({
  blocks: z.array(z.number().int().nonnegative()),
});

/** A request that is not a chat completion. */
export type ControlRequest = { request: IncomingMessage; text: string };

/** Engine, faults and time that control requests read and change. */
export type ControlContext = {
  driver: EngineDriver;
  faults: EngineFaults;
  nowMs: number;
};

/**
 * Handles requests for load reports, cache events, KV blocks, orders and fault
 * injection.
 *
 * @throws AppError `notFound`, `invalidRequest` or the error of an order that
 * is refused.
 */
export async function handleControlRequest(
  control: ControlRequest,
  response: ServerResponse,
  context: ControlContext,
): Promise<void> {
  const { request, text } = control;
  const url = new URL(request.url ?? "/", "http://engine");
  const { driver, nowMs } = context;
  const { model } = driver;
  switch (`${request.method} ${url.pathname}`) {
    case "GET /load":
      return sendJson(response, model.getLoadReport(nowMs) ?? null);
    case "GET /cache/events": {
      const after = Number(url.searchParams.get("after") ?? "0");
      const events = model.listCacheEvents(after, nowMs);
      return sendJson(response, { events });
    }
    case "GET /kv/blocks":
      return sendJson(response, {
        sequence: model.cacheSequence,
        blocks: model.listBlocks(),
      });
    case "GET /kv/export": {
      const chain = parseChain(url.searchParams.get("blocks"));
      return sendJson(response, { blocks: model.getCachedPrefix(chain) });
    }
    case "POST /kv/import": {
      const { blocks } = parseBody(text, blocksSchema);
      await driver.importBlocks(blocks);
      return sendJson(response, { blocks: model.getCachedPrefix(blocks) });
    }
    case "POST /orders": {
      const order = parseBody(text, engineOrderSchema);
      const doneAtMs = model.applyOrder(order, nowMs);
      return sendJson(response, { doneInMs: doneAtMs - nowMs });
    }
    case "GET /state":
      return sendJson(response, {
        role: model.role,
        models: Object.fromEntries(model.models),
        highestFencingNumber: model.highestFencingNumber,
      });
    case "PUT /faults": {
      const faults = parseBody(text, engineFaultsSchema);
      return sendJson(response, replaceFaults(context.faults, faults));
    }
  }
  throw AppError.create("notFound", `No path ${request.url}`);
}

function replaceFaults(
  faults: EngineFaults,
  replacement: EngineFaults,
): EngineFaults {
  delete faults.cutAfterTokens;
  delete faults.stallAfterTokens;
  delete faults.requests;
  return Object.assign(faults, replacement);
}

function parseChain(text: string | null): number[] {
  if (text === null || text === "") return [];
  const { blocks } = blocksSchema.parse({
    blocks: text.split(",").map(Number),
  });
  return blocks;
}

function parseBody<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
): z.output<Schema> {
  try {
    return schema.parse(JSON.parse(text));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw AppError.create("invalidRequest", reason, { cause: error });
  }
}
