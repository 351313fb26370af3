/** Selection of free loopback ports for the processes of a soak. */
import { once } from "node:events";
import { createServer } from "node:net";
import type { RandomSource } from "@jasminetide/core/random";

/** Port range below the ephemeral ports, which outgoing connections use. */
const ports = { smallest: 20_000, range: 10_000 };

const reserved = new Set<number>();

/** Finds a free loopback port that this process has not reserved before. */
export async function reservePort(random: RandomSource): Promise<number> {
  for (;;) {
    const port = ports.smallest + random.getInteger(ports.range);
    if (reserved.has(port) || !await isFree(port)) continue;
    reserved.add(port);
    return port;
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  server.listen(port, "127.0.0.1");
  try {
    await once(server, "listening");
  } catch {
    // Another program uses it; the caller draws another port.
    return false;
  }
  const closed = once(server, "close");
  server.close();
  await closed;
  return true;
}
