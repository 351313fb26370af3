import type { IncomingMessage, ServerResponse } from "node:http";
import { AppError } from "@jasminetide/core/results";
import {
  type ListeningServer,
  readBody,
  sendJson,
  sendProblem,
  startServer,
} from "@jasminetide/runtime/http";
import { z } from "zod";
import type { HostList } from "./host_list/mod.ts";
import type { ObjectApi } from "./object_api/mod.ts";

const faultsSchema = z.object({
  outage: z.boolean(),
  slowMs: z.number().nonnegative(),
  lostWriteAnswers: z.number().min(0).max(1),
}).partial();

const maxFaultsBytes = 4096;

/** What the platform consists of. */
export type PlatformServerOptions = {
  address: string;
  objects: ObjectApi;
  hosts: HostList;
};

/** Starts the platform: objects, the host list, and fault switches. */
export function startPlatformServer(
  options: PlatformServerOptions,
): Promise<ListeningServer> {
  return startServer(options.address, (request, response) => {
    handle(request, response, options).catch((error) =>
      sendProblem(response, error)
    );
  });
}

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
  options: PlatformServerOptions,
): Promise<void> {
  const path = request.url ?? "/";
  if (path.startsWith("/objects/")) {
    await options.objects.handle(request, response);
  } else if (path === "/hosts") {
    sendHosts(request, response, options);
  } else if (path === "/faults" && request.method === "PUT") {
    const body = await readBody(request, maxFaultsBytes);
    const faults = faultsSchema.parse(JSON.parse(body.toString("utf8")));
    Object.assign(options.objects.faults, faults);
    sendJson(response, options.objects.faults);
  } else throw AppError.create("notFound", `No path ${path}`);
}

function sendHosts(
  request: IncomingMessage,
  response: ServerResponse,
  options: PlatformServerOptions,
): void {
  if (options.objects.faults.outage) request.socket.destroy();
  else sendJson(response, options.hosts.get());
}
