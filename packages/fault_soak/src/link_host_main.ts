/** Process that holds the links of a soak; it exits when the soak does. */
import process from "node:process";
import { FaultLink } from "@jasminetide/testing/fault_link";
import type { LinkAction, LinkReply, LinkRequest } from "./link_wire.ts";

const links = new Map<string, FaultLink>();

process.on("message", async ({ action, id }: LinkRequest) => {
  const reply: LinkReply = { id, address: await handleAction(action) };
  process.send?.(reply);
});
process.on("disconnect", () => process.exit());

/** Carries an action out and returns the address of its link. */
async function handleAction(action: LinkAction): Promise<string> {
  if (action.type === "create") {
    const { target } = action;
    const link = await FaultLink.create({ getTarget: () => target });
    links.set(link.address, link);
    return link.address;
  }
  const { address } = action;
  const link = links.get(address);
  if (link === undefined) throw new Error(`no link at ${address}`);
  if (action.type === "delay") link.setDelay(action.delayMs);
  else if (action.type === "silence") {
    link.setSilentDirections(action.directions);
  } else link.resetOpen();
  return address;
}
