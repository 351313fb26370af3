import type { IncomingHttpHeaders } from "node:http";
import { AppError } from "@jasminetide/core/results";

/** Prefix of all headers that only processes of the fleet may send. */
export const internalPrefix = "jt-";

/** Names of the headers between processes. */
export const headerNames = {
  attempt: "jt-attempt",
  epoch: "jt-epoch",
  workspace: "jt-workspace",
  priority: "jt-priority",
  weight: "jt-weight",
  costTokens: "jt-cost-tokens",
  /** Milliseconds that remain until the deadline. */
  remainingMs: "jt-remaining-ms",
  /** Control address of the router. */
  sender: "jt-sender",
  pool: "jt-pool",
  chatKey: "jt-chat-key",
  /** Runner that holds the chat, in a refusal by the chat's home. */
  chatHolder: "jt-chat-holder",
  idempotent: "jt-idempotent",
  configurationVersion: "jt-configuration",
  digest: "jt-digest",
  executed: "jt-executed",
  /** Idempotency key of a money call. */
  ledgerKey: "jt-ledger-key",
  /** Whether the sidecar may wait for the lease and take over the shard. */
  ledgerClaim: "jt-ledger-claim",
  /** Kind of answer to a money call. */
  ledgerAnswer: "jt-ledger-answer",
  /** Runner whose sidecar owns the shard, if it is another one. */
  ledgerOwner: "jt-ledger-owner",
  /** Number of shards of the service. */
  ledgerShards: "jt-ledger-shards",
  /** Trailer: size of the whole answer in bytes. */
  answerBytes: "jt-answer-bytes",
  /** Trailer: how the answer ended. */
  answerEnd: "jt-answer-end",
} as const;

/** Metadata that a router sends to a sidecar along with a request. */
export type RequestEnvelope = {
  attempt: string;
  epoch: number;
  workspace: string;
  priority: number;
  weight: number;
  costTokens: number;
  remainingMs: number;
  pool: string;
  chatKey: string;
  /** Whether the request may be cancelled and retried. */
  isIdempotent: boolean;
  configurationVersion: number;
  /** Control address of the router, from which a sidecar fetches data. */
  sender?: string;
};

/** Formats an envelope as headers. */
export function formatEnvelope(
  envelope: RequestEnvelope,
): Record<string, string> {
  return {
    [headerNames.attempt]: envelope.attempt,
    [headerNames.epoch]: String(envelope.epoch),
    [headerNames.workspace]: encodeURIComponent(envelope.workspace),
    [headerNames.priority]: String(envelope.priority),
    [headerNames.weight]: String(envelope.weight),
    [headerNames.costTokens]: String(envelope.costTokens),
    [headerNames.remainingMs]: String(Math.floor(envelope.remainingMs)),
    [headerNames.pool]: encodeURIComponent(envelope.pool),
    [headerNames.chatKey]: envelope.chatKey,
    [headerNames.idempotent]: envelope.isIdempotent ? "1" : "0",
    [headerNames.configurationVersion]: String(envelope.configurationVersion),
    ...(envelope.sender === undefined
      ? {}
      : { [headerNames.sender]: envelope.sender }),
  };
}

/**
 * Parses an envelope.
 *
 * @throws AppError `invalidMessage` when a header is absent or malformed.
 */
export function parseEnvelope(headers: IncomingHttpHeaders): RequestEnvelope {
  return {
    attempt: getText(headers, headerNames.attempt),
    epoch: getNumber(headers, headerNames.epoch),
    workspace: getDecoded(headers, headerNames.workspace),
    priority: getNumber(headers, headerNames.priority),
    weight: getNumber(headers, headerNames.weight),
    costTokens: getNumber(headers, headerNames.costTokens),
    remainingMs: getNumber(headers, headerNames.remainingMs),
    pool: getDecoded(headers, headerNames.pool),
    chatKey: getText(headers, headerNames.chatKey),
    isIdempotent: getText(headers, headerNames.idempotent) === "1",
    configurationVersion: getNumber(headers, headerNames.configurationVersion),
    ...(typeof headers[headerNames.sender] === "string"
      ? { sender: headers[headerNames.sender] as string }
      : {}),
  };
}

/** Copies headers except hop-by-hop ones and those with the fleet's prefix. */
export function copyForwardedHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const copied: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || isHopHeader(name)) continue;
    if (name.startsWith(internalPrefix)) continue;
    copied[name] = value;
  }
  return copied;
}

const hopHeaders = new Set([
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

function isHopHeader(name: string): boolean {
  return hopHeaders.has(name);
}

function getText(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  if (typeof value === "string" && value !== "") return value;
  throw AppError.create("invalidMessage", `Header ${name} is absent`);
}

function getDecoded(headers: IncomingHttpHeaders, name: string): string {
  try {
    return decodeURIComponent(getText(headers, name));
  } catch (error) {
    if (error instanceof AppError) throw error;
    throw AppError.create("invalidMessage", `Header ${name} is malformed`, {
      cause: error,
    });
  }
}

function getNumber(headers: IncomingHttpHeaders, name: string): number {
  const value = Number(getText(headers, name));
  if (Number.isFinite(value) && value >= 0) return value;
  throw AppError.create(
    "invalidMessage",
    `Header ${name} is not a non-negative number`,
  );
}
