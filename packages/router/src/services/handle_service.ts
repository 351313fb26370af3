import type { IncomingMessage, ServerResponse } from "node:http";
import type { Service } from "@jasminetide/core/configuration";
import { AppError } from "@jasminetide/core/results";
import { chooseLookupRunner } from "@jasminetide/core/routing";
import { copyForwardedHeaders } from "@jasminetide/runtime/exchange";
import { readBody } from "@jasminetide/runtime/http";
import { dispatchRequest, hedgeRequest } from "../attempts/mod.ts";
import { authenticateCaller, getDeadlineMs } from "../callers/mod.ts";
import { handleMoneyCall } from "../ledger/mod.ts";
import { sendRequest } from "../relay/mod.ts";
import type { RouterContext } from "../router_context.ts";

/** Methods that are idempotent unless the route declares otherwise. */
const safeMethods = new Set(["GET", "HEAD", "OPTIONS"]);

/** Cost in tokens that each service call is charged. */
const serviceCostTokens = 1;

/** Handles requests to `/<service>/…`. */
export async function handleService(
  request: IncomingMessage,
  response: ServerResponse,
  context: RouterContext,
): Promise<void> {
  const arrivedAtMs = context.timers.nowMs();
  const service = findService(request, context);
  const workspace = authenticateCaller(request, context.getKeyIndex());
  const { settings, requestClass } = context.resolve({
    workspace,
    service: service.name,
  });
  const hasKey = request.headers["idempotency-key"] !== undefined;
  context.limiter.check(workspace, {
    tokens: serviceCostTokens,
    ...(hasKey ? { executed: "unknown" } : {}),
  });
  const deadlineMs = getDeadlineMs(request, settings.request.deadlineMs);
  const body = await readBody(request, settings.request.maximumBodyBytes);
  const pool = context.poolViews.get(service.name, {
    nowMs: context.timers.nowMs(),
    rampUpMs: settings.membership.rampUpMs,
  });
  const method = request.method ?? "GET";
  const path = request.url ?? "/";
  const headers = copyForwardedHeaders(request.headers);
  delete headers["authorization"];
  const isIdempotent = isIdempotentCall(service, { method, path });
  const envelope = {
    workspace,
    priority: requestClass.priority,
    weight: settings.workspace.weight,
    costTokens: serviceCostTokens,
    pool: service.name,
    chatKey: "0",
    isIdempotent,
    configurationVersion: context.configuration.version,
  };
  const deadlineAtMs = arrivedAtMs + deadlineMs;
  const outgoing = { method, path, headers, body };
  const keyHeader = request.headers["idempotency-key"];
  if (!isIdempotent && keyHeader !== undefined) {
    const money = { ...outgoing, envelope, deadlineAtMs, keyHeader };
    const declaredShardCount = settings.ledger.shardCount;
    await handleMoneyCall({ ...money, declaredShardCount }, response, context);
    return;
  }
  await sendRequest(
    {
      request: { method, path, headers, body },
      envelope,
      deadlineAtMs,
      settings,
      chooseRunner: (tried) => {
        const { membership, failureDomain, random, timers } = context;
        const runner = chooseLookupRunner(
          pool.getCandidates(timers.nowMs()),
          { failureDomain, random, tried },
        );
        return runner === undefined
          ? membership.getCandidates(service.name, tried)[0]
          : membership.runners.get(runner.id);
      },
    },
    response,
    {
      context,
      mode: "buffered",
      dispatch: isIdempotent ? hedgeRequest : dispatchRequest,
    },
  );
}

/** Checks whether a call is idempotent: as declared, else by its method. */
export function isIdempotentCall(
  service: Service,
  call: { method: string; path: string },
): boolean {
  const path = call.path.split("?")[0].slice(service.name.length + 1);
  const route = service.routes.find((route) =>
    route.method === call.method && isPathMatch(route.path, path)
  );
  return route?.idempotent ?? safeMethods.has(call.method);
}

function isPathMatch(pattern: string, path: string): boolean {
  const patternSegments = pattern.split("/");
  const pathSegments = path.split("/");
  return patternSegments.length === pathSegments.length &&
    patternSegments.every((segment, index) =>
      segment === "*" || segment === pathSegments[index]
    );
}

function findService(
  request: IncomingMessage,
  context: RouterContext,
): Service {
  const name = (request.url ?? "/").split("/")[1].split("?")[0];
  const { services } = context.configuration.get().body;
  const service = services.find((service) => service.name === name);
  if (service !== undefined) return service;
  throw AppError.create("unknownService", `Service "${name}" does not exist`);
}
