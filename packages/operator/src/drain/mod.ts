/** Takes hosts and runners out of use with a reason. */
export * from "./drain_intent.ts";
