import { Agent, type IncomingHttpHeaders, request } from "node:http";
import { SilenceLimit, type SilenceLimitOptions } from "../clock/mod.ts";
import { parseAddress } from "../settings/mod.ts";
import { closeIdleConnections } from "./close_idle.ts";
import { collectBody } from "./collect_body.ts";
import { ReadPacer } from "./read_pacer.ts";

/** One HTTP call whose answer is read whole. */
export type HttpCall = {
  /** `ip:port`. */
  address: string;
  method: "GET" | "POST" | "PUT" | "DELETE";
  path: string;
  /** JSON text. */
  body?: string;
  /** Connections to use; `shared` ones are kept open for other calls. */
  agent: Agent | "shared";
  limits: SilenceLimitOptions & { maxBytes: number };
  /** Called with the answer's headers; the call fails if it throws. */
  onHead?: (headers: IncomingHttpHeaders) => void;
  /** Called with a function that fails the call while it awaits its answer. */
  onWaiting?: (cancel: (error: Error) => void) => void;
};

/** A whole answer. */
export type HttpAnswer = { status: number; text: string };

const sharedAgent = new Agent({ keepAlive: true });

const answerPacer = ReadPacer.create();

/**
 * Sends a request with the HTTP client of Node.js, which servers load in any
 * case. Rejects when the connection breaks, a limit is exceeded or `onHead`
 * throws. When a time limit is exceeded, idle connections to the address are
 * closed, since they may be as silent as the one that was used.
 */
export async function sendRequest(call: HttpCall): Promise<HttpAnswer> {
  const agent = call.agent === "shared" ? sharedAgent : call.agent;
  using limit = SilenceLimit.create(call.limits);
  try {
    return await sendLimited(call, { agent, limit });
  } catch (thrown) {
    if (!limit.signal.aborted) throw thrown;
    closeIdleConnections(agent, call.address);
    // Unlike the error of the library, it tells which limit was exceeded.
    throw limit.signal.reason;
  }
}

type LimitedCallOptions = { agent: Agent; limit: SilenceLimit };

function sendLimited(
  call: HttpCall,
  { agent, limit }: LimitedCallOptions,
): Promise<HttpAnswer> {
  return new Promise((resolve, reject) => {
    const { ip, port } = parseAddress(call.address);
    const headers = call.body === undefined
      ? {}
      : { "Content-Type": "application/json" };
    const { method, path } = call;
    const options = { host: ip, port, method, path, headers, agent };
    const { maxBytes } = call.limits;
    const sent = request({ ...options, signal: limit.signal }, (response) => {
      try {
        call.onHead?.(response.headers);
      } catch (thrown) {
        response.on("error", reject);
        sent.destroy(thrown as Error);
        return;
      }
      const { statusCode: status = 0 } = response;
      collectBody(response, maxBytes, {
        pacer: answerPacer,
        onSize: () => limit.recordProgress(),
      }).then(
        (body) => resolve({ status, text: body.toString("utf8") }),
        (error) => {
          reject(error);
          sent.destroy();
        },
      );
    });
    let interimAnswers = 0;
    sent.on("information", () => {
      interimAnswers += 1;
      if (interimAnswers > maxInterimAnswers) {
        sent.destroy(createInterimError());
      }
    });
    sent.on("error", reject);
    call.onWaiting?.((error) => sent.destroy(error));
    sent.end(call.body);
  });
}

/** Limit on the interim answers (1xx) before an answer. */
const maxInterimAnswers = 32;

function createInterimError(): Error {
  return new Error(`Answer has over ${maxInterimAnswers} interim answers`);
}
