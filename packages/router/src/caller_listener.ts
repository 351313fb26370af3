import type { IncomingMessage, ServerResponse } from "node:http";
import { AppError, normalizeError } from "@jasminetide/core/results";
import {
  type ListeningServer,
  sendJson,
  sendProblem,
  startServer,
} from "@jasminetide/runtime/http";
import polka from "polka";
import { handleChat, handleModels } from "./chats/mod.ts";
import type { RouterContext } from "./router_context.ts";
import { handleService } from "./services/mod.ts";

/** Options of the listener for callers. */
export type CallerListenerOptions = {
  context: RouterContext;
  /** Whether a load balancer may send requests to this router. */
  isReady: () => boolean;
};

/** Starts the listener for callers at `ip:port`. */
export function startCallerListener(
  address: string,
  options: CallerListenerOptions,
): Promise<ListeningServer> {
  const { context } = options;
  const app = polka({
    onNoMatch: (_request, response) =>
      sendProblem(response, AppError.create("notFound", "No such path")),
  });
  app.get(
    "/healthz",
    (_request, response) => sendJson(response, { status: "ok" }),
  );
  app.get("/readyz", (_request, response) => sendReady(response, options));
  app.get("/v1/models", handleWith(context, handleModels));
  app.post("/v1/chat/completions", handleWith(context, handleChat));
  app.all("/*", handleWith(context, handleService));
  return startServer(address, (request, response) => {
    app.handler(request as polka.Request, response);
  });
}

function sendReady(
  response: ServerResponse,
  options: CallerListenerOptions,
): void {
  const ready = options.isReady();
  sendJson(response, { ready }, { status: ready ? 200 : 503 });
}

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
  context: RouterContext,
) => Promise<void> | void;

/** Wraps a handler: its errors are answered with a problem document. */
function handleWith(context: RouterContext, handler: Handler) {
  return async (request: IncomingMessage, response: ServerResponse) => {
    try {
      await context.syncConfiguration();
      await handler(request, response, context);
    } catch (thrown) {
      const error = normalizeError(thrown);
      context.metrics.count(`answered-${error.result}`);
      if (error.result === "internal") {
        context.logger.error("request-failed", {
          code: error.code,
          detail: error.message,
        });
      }
      sendProblem(response, error);
    }
  };
}
