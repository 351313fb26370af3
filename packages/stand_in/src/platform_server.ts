import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { gzipSync } from "node:zlib";
import { AppError } from "@jasminetide/core/results";
import {
  type ListeningServer,
  readBody,
  sendJson,
  sendProblem,
  startServer,
} from "@jasminetide/runtime/http";
import type { HostRecord } from "@jasminetide/runtime/platform";
import { z } from "zod";
import type { HostList } from "./host_list/mod.ts";
import { hostRecordSchema } from "./host_list/mod.ts";
import type { ObjectApi, StoreCopy } from "./object_api/mod.ts";

const ratio = z.number().min(0).max(1);

const faultsSchema = z.strictObject({
  outage: z.boolean(),
  slowMs: z.number().nonnegative(),
  lostWriteAnswers: ratio,
  staleReads: ratio,
}).partial();

const hostPath = /^\/hosts\/([^/]+)(\/leaving)?$/;

const maxBodyBytes = 65_536;

/** Address of the platform stand-in, its object API and its host list. */
export type PlatformServerOptions = {
  address: string;
  objects: ObjectApi;
  hosts: HostList;
};

type Copies = { last: StoreCopy | undefined };

/** A request to the platform and its response. */
type Exchange = { request: IncomingMessage; response: ServerResponse };

/**
 * Starts the platform stand-in: object API, host list, call counts and fault
 * injection.
 */
export function startPlatformServer(
  options: PlatformServerOptions,
): Promise<ListeningServer> {
  const copies: Copies = { last: undefined };
  return startServer(options.address, (request, response) => {
    options.objects.stateEpoch(response);
    handle({ request, response }, { ...options, copies }).catch((error) =>
      sendProblem(response, error)
    );
  });
}

async function handle(
  exchange: Exchange,
  options: PlatformServerOptions & { copies: Copies },
): Promise<void> {
  const { request, response } = exchange;
  const path = request.url ?? "/";
  if (path.startsWith("/objects/")) {
    await options.objects.handle(request, response);
  } else if (path.startsWith("/hosts")) {
    if (options.objects.faults.outage) request.socket.destroy();
    else await handleHosts(exchange, options);
  } else if (path === "/counts") {
    sendJson(response, options.objects.counts);
  } else if (path === "/faults" && request.method === "PUT") {
    const faults = await parseBody(request, faultsSchema);
    Object.assign(options.objects.faults, faults);
    sendJson(response, options.objects.faults);
  } else if (path === "/copy" && request.method === "POST") {
    options.copies.last = options.objects.store.copy();
    response.writeHead(204).end();
  } else if (path === "/restore" && request.method === "POST") {
    restoreLastCopy(options);
    response.writeHead(204).end();
  } else throw AppError.create("notFound", `No path ${path}`);
}

function restoreLastCopy(
  { copies, objects }: PlatformServerOptions & { copies: Copies },
): void {
  if (copies.last === undefined) {
    throw AppError.create("notFound", "No copy of the store was made");
  }
  objects.store.restore(copies.last);
}

/** Serves the host list to its readers, and changes hosts for tests. */
async function handleHosts(
  { request, response }: Exchange,
  { hosts, objects }: PlatformServerOptions,
): Promise<void> {
  const path = request.url ?? "/";
  const match = hostPath.exec(path);
  const id = decodeURIComponent(match?.[1] ?? "");
  const method = match?.[2] === undefined ? request.method : "LEAVING";
  if (path === "/hosts" && request.method === "GET") {
    objects.checkRate("read");
    sendHosts(request, response, hosts.get());
    return;
  }
  if (match === null) throw AppError.create("notFound", `No path ${path}`);
  if (method === "PUT") {
    hosts.put({ ...await parseBody(request, hostRecordSchema), id });
  } else if (!(method === "LEAVING" ? hosts.drain(id) : hosts.remove(id))) {
    throw AppError.create("notFound", `No host "${id}"`);
  }
  response.writeHead(204).end();
}

/** Sends the list, gzipped if accepted, or 304 if it has not changed. */
function sendHosts(
  request: IncomingMessage,
  response: ServerResponse,
  list: HostRecord[],
): void {
  const text = JSON.stringify(list);
  const etag = `"${createHash("sha256").update(text).digest("hex")}"`;
  if (request.headers["if-none-match"] === etag) {
    response.writeHead(304, { etag }).end();
    return;
  }
  const acceptsGzip = String(request.headers["accept-encoding"])
    .includes("gzip");
  response.writeHead(200, {
    "content-type": "application/json",
    etag,
    ...(acceptsGzip ? { "content-encoding": "gzip" } : {}),
  });
  response.end(acceptsGzip ? gzipSync(text) : text);
}

async function parseBody<Schema extends z.ZodType>(
  request: IncomingMessage,
  schema: Schema,
): Promise<z.output<Schema>> {
  const body = await readBody(request, maxBodyBytes);
  try {
    return schema.parse(JSON.parse(body.toString("utf8")));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw AppError.create("invalidRequest", reason, { cause: error });
  }
}
