/** Small tools for sockets on the loopback interface. */
import { once } from "node:events";
import { createServer } from "node:net";

const loopback = "127.0.0.1";

/** Listens on a free port; returns `ip:port`. */
export async function listen(server) {
  server.listen(0, loopback);
  await once(server, "listening");
  return `${loopback}:${server.address().port}`;
}

/** Finds a free port for a process that is started next; returns `ip:port`. */
export async function reserveAddress() {
  const server = createServer();
  const address = await listen(server);
  server.close();
  await once(server, "close");
  return address;
}

/** Splits `ip:port`. */
export function parseAddress(address) {
  const [host, port] = address.split(":");
  return { host, port: Number(port) };
}

/** Reads a stream to its end as text. */
export async function readText(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return new TextDecoder().decode(concatenate(chunks));
}

/** Joins byte arrays. */
export function concatenate(chunks) {
  const size = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
  const all = new Uint8Array(size);
  let offset = 0;
  for (const chunk of chunks) {
    all.set(chunk, offset);
    offset += chunk.length;
  }
  return all;
}
