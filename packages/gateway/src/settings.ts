import { addressSchema } from "@jasminetide/runtime/settings";
import * as z from "zod";

const durationMs = z.number().int().positive();

/** Settings of a gateway. */
export const gatewaySettingsSchema = z.strictObject({
  /** Name of the process, unique in the fleet. */
  name: z.string().min(1),
  failureDomain: z.string().min(1),
  /** Address for callers. */
  callerAddress: addressSchema,
  /** Address for the balancer's questions. */
  readinessAddress: addressSchema,
  /** Address for the other gateways. */
  peerAddress: addressSchema,
  /** Gateways to ask before the store has named the others. */
  seedAddresses: z.array(addressSchema).default([]),
  platform: z.strictObject({
    address: addressSchema,
    /** Time in which a connection that went silent must be noticed. */
    noticeSilenceMs: durationMs.default(3000),
    /**
     * Time after an outage for which runners that went missing are kept. Those
     * that live are back within two seconds.
     */
    keepMissingMs: durationMs.default(2500),
  }),
  stop: z.strictObject({
    /** Time in which the balancer learns of a planned stop. */
    noticeMs: durationMs.default(2500),
    /** Time after which the process is killed. */
    graceSeconds: z.number().positive().default(8),
  }),
  /** Budget of repeats for a service, shared by all gateways. */
  repeats: z.strictObject({
    ratio: z.number().nonnegative().default(0.1),
    slack: z.number().nonnegative().default(10),
    windowSeconds: z.number().positive().default(10),
  }),
  log: z.strictObject({
    level: z.enum(["error", "warn", "info", "debug"]).default("info"),
    /** Share of requests of which every decision is logged. */
    sampleShare: z.number().min(0).max(1).default(0.02),
    linesPerSecond: z.number().int().positive().default(100),
  }),
});

/** Settings of a gateway, parsed. */
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
