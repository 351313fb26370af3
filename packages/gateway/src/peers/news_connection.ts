/** The stream of changes between two gateways: one JSON line for each message. */
import type { Buffer } from "node:buffer";
import {
  type IncomingMessage,
  request,
  type RequestListener,
  type ServerResponse,
} from "node:http";
import { SilenceLimit } from "@jasminetide/runtime/clock";
import { parseAddress } from "@jasminetide/runtime/settings";
import { ByteCollector } from "@jasminetide/runtime/streams";
import {
  type NewsLine,
  type NewsPositions,
  newsPositionsSchema,
} from "./news.ts";
import type { NewsPublisher, NewsSubscriber } from "./news_publisher.ts";

/** Path of the stream at the listener for peers and operators. */
export const newsPath = "/news";

/** Creates the handler of gateways that subscribe to a publisher. */
export function createNewsHandler(publisher: NewsPublisher): RequestListener {
  return (request, response) => {
    const positions = parsePositions(request);
    if (positions === undefined) {
      response.writeHead(400).end();
      return;
    }
    response.setHeader("Content-Type", "application/x-ndjson");
    const subscriber = createSubscriber(response);
    response.on("close", () => publisher.remove(subscriber));
    publisher.add(subscriber, positions);
  };
}

function createSubscriber(response: ServerResponse): NewsSubscriber {
  return {
    send: (line) => {
      response.write(`${line}\n`);
      return response.writableLength < maxUnreadBytes;
    },
    end: () => response.end(),
  };
}

function parsePositions(message: IncomingMessage): NewsPositions | undefined {
  const url = new URL(message.url ?? "", "http://gateway");
  const text = url.searchParams.get("positions") ?? "";
  try {
    return newsPositionsSchema.safeParse(JSON.parse(text)).data;
  } catch {
    // Not JSON; answered as a bad request.
    return undefined;
  }
}

/** Options of a subscription to another gateway. */
export type NewsSubscriptionOptions = {
  /** `ip:port` of its listener for peers and operators. */
  address: string;
  positions: NewsPositions;
  /** Maximum time between two lines. */
  silenceMs: number;
  onLine: (line: NewsLine) => void;
};

/** A subscription to another gateway; disposing of it ends it. */
export type NewsSubscription = Disposable & {
  /** Resolves when the stream ends; rejects if it breaks or falls silent. */
  ended: Promise<void>;
};

/** Subscribes to the changes that another gateway reads. */
export function subscribeToNews(
  options: NewsSubscriptionOptions,
): NewsSubscription {
  const { address, onLine, positions, silenceMs } = options;
  const { ip, port } = parseAddress(address);
  const query = new URLSearchParams({ positions: JSON.stringify(positions) });
  const limit = SilenceLimit.create({
    firstMs: silenceMs,
    pauseMs: silenceMs,
    totalMs: maxStreamMs,
  });
  const sent = request({
    host: ip,
    port,
    path: `${newsPath}?${query}`,
    agent: false,
    signal: limit.signal,
  });
  const ended = new Promise<void>((resolve, reject) => {
    sent.on("error", reject);
    sent.on("response", (response) => {
      response.on("error", reject);
      response.on("end", resolve);
      const lines = LineSplitter.create();
      response.on("data", (bytes: Buffer) => {
        try {
          for (const line of lines.append(bytes)) {
            limit.recordProgress();
            onLine(JSON.parse(line) as NewsLine);
          }
        } catch (thrown) {
          sent.destroy(thrown as Error);
        }
      });
    });
  }).finally(() => limit[Symbol.dispose]());
  sent.end();
  return { ended, [Symbol.dispose]: () => void sent.destroy() };
}

/** Splits bytes into lines. */
class LineSplitter {
  readonly #line = ByteCollector.create();

  private constructor() {}

  static create(): LineSplitter {
    return new LineSplitter();
  }

  /** Appends bytes and returns the lines that they complete. */
  append(bytes: Buffer): string[] {
    const lines: string[] = [];
    let rest = bytes;
    let end = rest.indexOf(lineEnd);
    while (end >= 0) {
      this.#line.append(rest.subarray(0, end));
      lines.push(this.#line.take().toString("utf8"));
      rest = rest.subarray(end + 1);
      end = rest.indexOf(lineEnd);
    }
    this.#line.append(rest);
    if (this.#line.sizeBytes > maxLineBytes) {
      throw new Error(`Line exceeds ${maxLineBytes} bytes`);
    }
    return lines;
  }
}

const lineEnd = "\n".charCodeAt(0);

/** Limit on the size of a line: the state of a fleet with 3,000 runners. */
const maxLineBytes = 16 * 1024 * 1024;

/** Limit on the bytes that wait for a gateway that does not read them. */
const maxUnreadBytes = 16 * 1024 * 1024;

/** Time after which a stream is opened anew, so that none is kept forever. */
const maxStreamMs = 3_600_000;
