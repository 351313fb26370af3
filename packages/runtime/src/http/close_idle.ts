import type { Agent } from "node:http";
import { parseAddress } from "../settings/mod.ts";

/**
 * Closes the connections of an agent to an address that carry no call. Used when
 * a call was not answered in time: what silenced its connection may have silenced
 * them as well, and each would cost another call its time limit.
 *
 * @param address `ip:port`.
 */
export function closeIdleConnections(agent: Agent, address: string): void {
  const { ip, port } = parseAddress(address);
  const name = agent.getName({ host: ip, port });
  for (const socket of agent.freeSockets[name] ?? []) socket.destroy();
}
