/** One request of a caller, on a connection of its own or a kept one. */
import { type Agent, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import { parseAddress } from "@jasminetide/runtime/settings";
import { isUnframed, isWhole } from "./answer_framing.ts";
import type { CallOutcome } from "./history.ts";
import { soakHost } from "./soak_declaration.ts";

/** One request of a caller. */
export type CallerExchange = {
  address: string;
  agent: Agent;
  path: string;
  body: string;
  headers: Record<string, string>;
  /** Time after which the caller stops waiting. */
  waitMs: number;
  disconnectAfterMs: number | undefined;
  /** Called with the time at which the connection was opened. */
  onConnection: (openedAtMs: number) => void;
};

/** Times at which the callers' connections were opened. */
const openedAtMs = new WeakMap<Socket, number>();

/** Sends a request and waits until it ends or its caller leaves. */
export function sendRequest(
  options: CallerExchange,
): Promise<CallOutcome> {
  const { address, agent, body, disconnectAfterMs, headers, path, waitMs } =
    options;
  const { ip, port } = parseAddress(address);
  return new Promise((resolve) => {
    const callerRequest = request({
      host: ip,
      port,
      path,
      method: "POST",
      agent,
      headers: { ...headers, Host: soakHost },
    });
    callerRequest.on("socket", (socket: Socket) => {
      const knownMs = openedAtMs.get(socket) ?? Date.now();
      openedAtMs.set(socket, knownMs);
      options.onConnection(knownMs);
    });
    const end = (outcome: CallOutcome) => {
      for (const timer of timers) clearTimeout(timer);
      resolve(outcome);
    };
    const disconnect = (outcome: CallOutcome) => () => {
      end(outcome);
      callerRequest.destroy();
    };
    const timers = [
      globalThis.setTimeout(disconnect({ type: "silent" }), waitMs),
      ...(disconnectAfterMs === undefined ? [] : [
        globalThis.setTimeout(
          disconnect({ type: "left" }),
          disconnectAfterMs,
        ),
      ]),
    ];
    callerRequest.on(
      "error",
      ({ message }) => end({ type: "failed", reason: message }),
    );
    callerRequest.on("response", (response) => readAnswer(response, end));
    callerRequest.end(body);
  });
}

function readAnswer(
  response: IncomingMessage,
  end: (outcome: CallOutcome) => void,
): void {
  let body = "";
  const finish = (hasEnded: boolean) => () =>
    end({
      type: "answered",
      status: response.statusCode ?? 0,
      body,
      isComplete: hasEnded && isWhole(body, response.headers),
      isUnframed: isUnframed(response.headers),
    });
  response.on("data", (bytes) => body += String(bytes));
  response.on("end", finish(true));
  response.on("error", finish(false));
  response.on("aborted", finish(false));
}
