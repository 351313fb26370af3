import { addressSchema } from "@jasminetide/runtime/settings";
import * as z from "zod";

const durationMs = z.number().int().positive();

/** Memory and descriptors of a host whose settings state none. */
const defaultMemoryMb = 512;
const defaultDescriptors = 4096;

/** Schema of a gateway's settings. */
export const gatewaySettingsSchema = z.strictObject({
  /** Name of the process, unique in the fleet. */
  name: z.string().min(1),
  failureDomain: z.string().min(1),
  /** Address at which callers connect. */
  callerAddress: addressSchema,
  /** Address at which the load balancer checks readiness. */
  readinessAddress: addressSchema,
  /** Address at which other gateways and operators' tools connect. */
  peerAddress: addressSchema,
  /** Gateways to query before the list of gateways was read from the store. */
  seedAddresses: z.array(addressSchema).default([]),
  platform: z.strictObject({
    address: addressSchema,
    /** Writes a second that it accepts from all processes together. */
    writesPerSecond: z.number().positive().default(400),
    /** Time within which a silent connection must be detected. */
    noticeSilenceMs: durationMs.default(3000),
    /** Time within which every gateway must know a runner that leaves. */
    leavingLimitMs: durationMs.default(2000),
    /** Time within which every gateway must apply a declaration. */
    declarationLimitMs: durationMs.default(2000),
    /**
     * Time within which no gateway sends anything more to the runners of a
     * failure domain that is evacuated; absent where none ever is.
     */
    evacuationLimitMs: durationMs.optional(),
    /**
     * Share of that time in which services without any other runner still use
     * those of an evacuated failure domain; 0 refuses their requests at once.
     */
    lastResortShare: z.number().min(0).max(0.8).default(0),
    /**
     * Time after an outage for which missing runners are kept. Runners that
     * are still alive register again within two seconds.
     */
    keepMissingMs: durationMs.default(2500),
  }),
  /** What gateways tell each other in datagrams; absent if they tell nothing. */
  datagrams: z.strictObject({
    /** Address for datagrams of the other gateways. */
    address: addressSchema,
    /** Gateways to which each report of a runner's load is sent. */
    loadFanout: z.number().int().positive().default(3),
    /** Whether gateways ask each other for the engines that hold a prefix. */
    asksHolders: z.boolean().default(true),
  }).optional(),
  admission: z.strictObject({
    /** Whether plain requests that would wait past their goal are refused. */
    limitsWait: z.boolean().default(false),
  }).prefault({}),
  /** The process's share of its host. */
  host: z.strictObject({
    cores: z.number().positive().default(1),
    /** Speed of a core, relative to others. */
    coreSpeed: z.number().positive().default(1),
    linkMbps: z.number().positive().default(1000),
    /** Memory that the process may use. */
    memoryMb: z.number().positive().default(defaultMemoryMb),
    /** File descriptors that the process may use. */
    maxDescriptors: z.number().int().positive().default(defaultDescriptors),
  }).prefault({}),
  stop: z.strictObject({
    /** Time within which the load balancer notices a planned stop. */
    noticeMs: durationMs.default(2500),
    /** Time after which the platform kills a stopping process. */
    graceSeconds: z.number().positive().default(8),
  }),
  /** Retry budget of a service, shared by all gateways. */
  repeats: z.strictObject({
    ratio: z.number().nonnegative().default(0.1),
    slack: z.number().nonnegative().default(10),
    windowSeconds: z.number().positive().default(10),
  }),
  /** Second attempts at late lookups; none if absent. */
  hedging: z.strictObject({
    /** Hedges per request of a service, within every window at most. */
    maxShare: z.number().min(0).max(1),
    /** Quantile of a route's own answers after which a lookup is late. */
    quantile: z.number().min(0.5).max(0.999).default(0.95),
    windowSeconds: z.number().positive().default(60),
  }).optional(),
  log: z.strictObject({
    level: z.enum(["error", "warn", "info", "debug"]).default("info"),
    /** Share of successful requests whose decisions are logged, 0 to 1. */
    sampleShare: z.number().min(0).max(1).default(0.02),
    linesPerSecond: z.number().int().positive().default(100),
  }),
});

/** Settings of a gateway, parsed. */
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
