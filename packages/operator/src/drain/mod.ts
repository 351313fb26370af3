/** Drains hosts and runners, with a reason. */
export * from "./drain_intent.ts";
