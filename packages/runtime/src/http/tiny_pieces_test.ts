import assert from "node:assert/strict";
import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { setImmediate } from "node:timers/promises";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { AppError } from "@jasminetide/core/results";
import { MemoryPeak } from "@jasminetide/testing/memory_peak";
import { parseAddress } from "../settings/mod.ts";
import {
  type ListeningServer,
  readBody,
  sendRequest,
  startServer,
} from "./mod.ts";

/** Gets the next bytes to send; undefined at the end. */
type GetPiece = () => string | undefined;

type World = {
  /** First lines of the message that is sent. */
  firstLines: string;
  /** Sends bytes as fast as they are read. */
  sendPieces: (getPiece: GetPiece) => Promise<void>;
  pieceServer: ListeningServer | undefined;
  pieceSource: Server | undefined;
  pieceSender: Socket | undefined;
  /** Size of the body that was read. */
  bodyBytes: Promise<number>;
  /** Size of what has been read so far of the last body. */
  readBytes: number;
  /** Pieces that were read so far of all bodies. */
  readPieces: number;
  /** Most of them in a turn of the event loop. */
  mostPiecesInTurn: number;
  discardAtBytes: number;
  pieceMemory: MemoryPeak;
};

const mib = 1024 * 1024;

const headers = "Transfer-Encoding: chunked\r\n\r\n";

After(async function (this: World) {
  this.pieceSender?.destroy();
  this.pieceSource?.close();
  await this.pieceServer?.[Symbol.asyncDispose]();
});

/** Writes as fast as the peer reads. */
function writeAll(socket: Socket, getPiece: GetPiece): void {
  const write = () => {
    while (!socket.destroyed) {
      const piece = getPiece();
      if (piece === undefined || !socket.write(piece)) return;
    }
  };
  socket.on("drain", write);
  socket.on("error", () => {});
  write();
}

Given(
  "a server that accepts {int} MiB",
  async function (this: World, sizeMib: number) {
    this.discardAtBytes = Infinity;
    this.readPieces = 0;
    this.firstLines = "POST / HTTP/1.1\r\nHost: a\r\n";
    let resolveBytes: (bytes: Promise<number>) => void;
    this.bodyBytes = new Promise((resolve) => {
      resolveBytes = resolve;
    });
    this.pieceServer = await startServer("127.0.0.1:0", (request, response) => {
      let discard: (error: Error) => void = () => {};
      const body = readBody(request, sizeMib * mib, {
        onReading: (discardBody) => {
          discard = discardBody;
        },
        onSize: (bytes) => {
          this.readBytes = bytes;
          this.readPieces += 1;
          if (bytes < this.discardAtBytes) return;
          discard(AppError.create("memoryLimited", "Discarded"));
        },
      }).then(({ length }) => length);
      resolveBytes(body);
      void body.catch(() => {}).then(() => response.end("done"));
    });
    this.sendPieces = async (getPiece) => {
      this.pieceSender = await connectCaller(this);
      writeAll(this.pieceSender, getPiece);
    };
  },
);

Given(
  "a client that accepts {int} MiB",
  async function (this: World, sizeMib: number) {
    const source = createServer();
    this.firstLines = "HTTP/1.1 200 OK\r\n";
    this.pieceSource = source;
    source.listen(0, "127.0.0.1");
    await once(source, "listening");
    const { port } = source.address() as AddressInfo;
    this.sendPieces = (getPiece) => {
      source.once("connection", (socket) => {
        this.pieceSender = socket;
        socket.once("data", () => {
          writeAll(socket, getPiece);
        });
      });
      this.bodyBytes = sendRequest({
        address: `127.0.0.1:${port}`,
        method: "GET",
        path: "/",
        agent: "shared",
        limits: {
          firstMs: 60_000,
          pauseMs: 60_000,
          totalMs: 60_000,
          maxBytes: sizeMib * mib,
        },
      }).then(({ text }) => text.length);
      this.bodyBytes.catch(() => {});
      return Promise.resolve();
    };
  },
);

/** Chunks of one byte that are written at once. */
const chunksInWrite = 8192;

/** Sends a body in chunks of one byte. */
function sendChunks(world: World, sizeBytes: number): Promise<void> {
  let leftBytes = sizeBytes;
  let hasBegun = false;
  return world.sendPieces(() => {
    if (!hasBegun) {
      hasBegun = true;
      return world.firstLines + headers;
    }
    if (leftBytes < 0) return undefined;
    const count = Math.min(leftBytes, chunksInWrite);
    leftBytes -= count;
    world.pieceMemory.observe();
    if (count > 0) return "1\r\na\r\n".repeat(count);
    leftBytes = -1;
    return "0\r\n\r\n";
  });
}

When(
  "{int} MiB arrive in chunks of one byte",
  { timeout: 60_000 },
  async function (this: World, sizeMib: number) {
    this.pieceMemory = MemoryPeak.create();
    await sendChunks(this, sizeMib * mib);
    await this.bodyBytes;
  },
);

Then(
  "the body has {int} MiB",
  async function (this: World, sizeMib: number) {
    assert.equal(await this.bodyBytes, sizeMib * mib);
  },
);

Then(
  "the heap grew by less than {int} MiB while it was read",
  function (this: World, limitMib: number) {
    this.pieceMemory.assertHeapBelow(limitMib);
  },
);

/** Connects a caller to the server. */
async function connectCaller({ pieceServer }: World): Promise<Socket> {
  const { ip, port } = parseAddress((pieceServer as ListeningServer).address);
  const socket = connect(port, ip);
  await once(socket, "connect");
  return socket;
}

/** Counts the pieces that are read in each turn of the event loop. */
async function countPieces(world: World, untilPieces: number): Promise<void> {
  world.mostPiecesInTurn = 0;
  let before = world.readPieces;
  while (world.readPieces < untilPieces) {
    await setImmediate();
    const inTurn = world.readPieces - before;
    before = world.readPieces;
    world.mostPiecesInTurn = Math.max(world.mostPiecesInTurn, inTurn);
  }
}

When(
  "{int} callers send {int} KiB each in chunks of one byte at once",
  { timeout: 60_000 },
  async function (this: World, count: number, sizeKib: number) {
    const sizeBytes = sizeKib * 1024;
    const message = `${this.firstLines}${headers}` +
      `${"1\r\na\r\n".repeat(sizeBytes)}0\r\n\r\n`;
    const callers = await Promise.all(
      Array.from({ length: count }, () => connectCaller(this)),
    );
    for (const each of callers) each.write(message);
    await countPieces(this, count * sizeBytes);
    for (const each of callers) each.destroy();
  },
);

Then(
  "at most {int} KiB were handled in a turn of the event loop",
  function (this: World, limitKib: number) {
    assert.ok(
      this.mostPiecesInTurn <= limitKib * 1024,
      `${this.mostPiecesInTurn} pieces`,
    );
  },
);

When(
  "a body is discarded after {int} KiB",
  async function (this: World, sizeKib: number) {
    this.discardAtBytes = sizeKib * 1024;
    this.pieceMemory = MemoryPeak.create();
    await sendChunks(this, 2 * this.discardAtBytes);
  },
);

Then(
  "the request ends with the error of the discard",
  async function (this: World) {
    await assert.rejects(this.bodyBytes, { result: "memoryLimited" });
    assert.ok(this.readBytes <= this.discardAtBytes);
  },
);

When(
  "interim answers arrive without end",
  async function (this: World) {
    const interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(1000);
    await this.sendPieces(() => interim);
  },
);

Then("the call fails", async function (this: World) {
  await assert.rejects(this.bodyBytes);
});
