import { once } from "node:events";
import { createServer } from "node:net";
import type { RandomSource } from "@jasminetide/core/random";

/** Below the ports that systems give to outgoing connections. */
const ports = { smallest: 20_000, range: 10_000 };

const reserved = new Set<number>();

/** Finds a port of the loopback address that is free and not given yet. */
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
    // Another program has it; the next draw finds one that is free.
    return false;
  }
  const closed = once(server, "close");
  server.close();
  await closed;
  return true;
}
