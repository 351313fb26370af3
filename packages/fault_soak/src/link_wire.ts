/** Messages between the soak and the process of its links. */
import type { LinkDirection } from "@jasminetide/testing/fault_link";

/** What a link is to do; links are named by the addresses of their near ends. */
export type LinkAction =
  | { type: "create"; target: string }
  | { type: "delay"; address: string; delayMs: number }
  | {
    type: "silence";
    address: string;
    directions: readonly LinkDirection[];
  }
  | { type: "reset"; address: string };

/** Request of the soak. */
export type LinkRequest = { id: number; action: LinkAction };

/** States that an action is in force, and the address of its link. */
export type LinkReply = { id: number; address: string };
