import * as z from "zod";

const positiveMs = z.number().int().positive();
const ratio = z.number().min(0).max(1);

/** Name of a priority class; `classes` lists the highest first. */
const className = z.string().regex(/^[a-z][a-z0-9-]*$/);

const loadSchema = z.object({
  /** Load cap of an engine, as a multiple of the mean load of its pool. */
  capMultiple: z.number().min(1).default(1.25),
  /** Multiple of the mean load beyond which chats go to another engine. */
  spillMultiple: z.number().min(1).default(1.04),
  /** Load in tokens below which the cap does not apply. */
  minimumTokens: z.number().int().nonnegative().default(4096),
});

const admissionSchema = z.object({
  maximumConcurrency: z.number().int().positive().default(64),
  maximumQueueLength: z.number().int().nonnegative().default(512),
  /** p95 time to first token above which concurrency is reduced. */
  targetFirstTokenMs: positiveMs.default(1800),
  /** p95 time between tokens above which concurrency is reduced. */
  targetBetweenTokensMs: positiveMs.default(47),
});

const requestSchema = z.object({
  /** Priority class of requests that specify none. */
  class: className.default("interactive"),
  deadlineMs: positiveMs.default(60_000),
  maximumBodyBytes: z.number().int().positive().default(1_048_576),
});

const retrySchema = z.object({
  /** Ratio of retries to first attempts that is allowed. */
  budgetRatio: ratio.default(0.1),
  maximumAttempts: z.number().int().min(1).max(10).default(3),
  baseDelayMs: positiveMs.default(25),
  maximumDelayMs: positiveMs.default(1000),
});

const hedgeSchema = z.object({
  budgetRatio: ratio.default(0.05),
  /** Quantile of response times after which a second attempt is sent. */
  afterQuantile: ratio.default(0.95),
});

const streamSchema = z.object({
  firstByteMs: positiveMs.default(10_000),
  betweenChunksMs: positiveMs.default(1500),
  maximumResumes: z.number().int().nonnegative().default(3),
  idlePingMs: positiveMs.default(5000),
});

const workspaceSchema = z.object({
  requestsPerSecond: z.number().positive().default(100),
  tokensPerSecond: z.number().positive().default(200_000),
  /** Share relative to other workspaces when a class is contended. */
  weight: z.number().positive().default(1),
});

const ledgerSchema = z.object({
  shardCount: z.number().int().min(1).max(1024).default(16),
  /** Age of a key beyond which requests are refused without being run. */
  windowMs: positiveMs.default(86_400_000),
  maximumEntriesPerShard: z.number().int().positive().default(4096),
  groupCommitMs: positiveMs.default(20),
  leaseMs: positiveMs.default(10_000),
  /** Handling of money calls during a platform outage. */
  outageMode: z.enum(["refuse", "open-window"]).default("refuse"),
  openWindowMs: positiveMs.default(30_000),
});

const peakSchema = z.object({
  /** Whether deferrable requests are held back to limit the peak minute. */
  holdBack: z.boolean().default(true),
  /** Longest time for which a deferrable request is held back. */
  maximumHoldMs: positiveMs.default(600_000),
});

const membershipSchema = z.object({
  digestPeriodMs: positiveMs.default(1000),
  budgetBytesPerSecond: z.number().int().positive().default(11_000),
  staleAfterMs: positiveMs.default(10_000),
  holdDownMs: positiveMs.default(1000),
  maximumHoldDownMs: positiveMs.default(4000),
  rampUpMs: positiveMs.default(2000),
});

const placementSchema = z.object({
  /** Rate at which weights may be fetched from the weight store. */
  weightBytesPerSecond: z.number().positive().default(1e9),
  /** Time for which a runner keeps an assigned model before demand moves it. */
  dwellMs: positiveMs.default(600_000),
  /** Time for which a model must be hot or cold before a runner moves. */
  demandWindowMs: positiveMs.default(180_000),
  /** A model is hot above this multiple of the fleet's mean load. */
  hotRatio: z.number().min(1).default(1.25),
  /** A model is cold below this multiple of the fleet's mean load. */
  coldRatio: ratio.default(0.8),
});

/** All settings that defaults and exceptions may set. */
export const settingsSchema = z.object({
  load: loadSchema.prefault({}),
  admission: admissionSchema.prefault({}),
  request: requestSchema.prefault({}),
  retry: retrySchema.prefault({}),
  hedge: hedgeSchema.prefault({}),
  stream: streamSchema.prefault({}),
  workspace: workspaceSchema.prefault({}),
  ledger: ledgerSchema.prefault({}),
  peak: peakSchema.prefault({}),
  membership: membershipSchema.prefault({}),
  placement: placementSchema.prefault({}),
});

/** Effective settings for one subject. */
export type Settings = z.output<typeof settingsSchema>;

/** Schema of the subject of an exception; all given fields must match. */
export const matchSchema = z.strictObject({
  workspace: z.string().optional(),
  runner: z.string().optional(),
  host: z.string().optional(),
  failureDomain: z.string().optional(),
  model: z.string().optional(),
  service: z.string().optional(),
  class: className.optional(),
}).refine(
  (match) => Object.values(match).some((value) => value !== undefined),
  "at least one field to match",
);

/** Subject of an exception, or of a lookup of settings. */
export type Match = z.output<typeof matchSchema>;

/** Settings with all sections and fields optional. */
export type SettingsPatch = {
  [Section in keyof Settings]?: Partial<Settings[Section]>;
};

/** Schema of the settings without default values. */
const settingsPatchSchema = z.object(
  Object.fromEntries(
    Object.entries(settingsSchema.shape).map(([name, section]) => [
      name,
      createPatchSchema(section.unwrap().shape).optional(),
    ]),
  ),
) as unknown as z.ZodType<SettingsPatch>;

function createPatchSchema(shape: { [name: string]: z.ZodType }) {
  return z.object(
    Object.fromEntries(
      Object.entries(shape).map(([name, field]) => [
        name,
        (field instanceof z.ZodDefault ? field.unwrap() as z.ZodType : field)
          .optional(),
      ]),
    ),
  );
}

/** Schema of an exception: a deviation from the defaults, with its reason. */
export const exceptionSchema = z.strictObject({
  match: matchSchema,
  set: settingsPatchSchema,
  reason: z.string().trim().refine((reason) => reason !== "", "a sentence"),
});

/** A deviation from the defaults. */
export type Exception = z.output<typeof exceptionSchema>;

const classSchema = z.object({
  name: className,
  /** Lower values are served first. */
  priority: z.number().int().nonnegative(),
  /** Whether requests may be held back until a peak minute has passed. */
  deferrable: z.boolean().default(false),
  deadlineMs: positiveMs.optional(),
});

const workspaceEntrySchema = z.object({
  id: z.string().min(1),
  /** SHA-256 of each accepted caller key, in lower-case hexadecimal. */
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1),
});

const modelSchema = z.object({
  name: z.string().min(1),
  /** Name of the model at the engines. */
  engineModel: z.string().optional(),
  adapters: z.array(z.string()).default([]),
  version: z.string().default("1"),
  minimumRunners: z.number().int().nonnegative().default(1),
  /** Bytes that a runner fetches from the weight store to load the model. */
  weightBytes: z.number().positive().default(16e9),
  /** Share of the runners that only prefill; 0 makes all of them mixed. */
  prefillShare: ratio.default(0),
});

const routeSchema = z.object({
  method: z.string().regex(/^[A-Z]+$/),
  /** Path below the service; `*` matches one segment. */
  path: z.string().startsWith("/"),
  idempotent: z.boolean(),
});

const serviceSchema = z.object({
  name: z.string().regex(/^[a-z][a-z0-9-]*$/),
  routes: z.array(routeSchema).default([]),
});

/** Schema of the operators' declaration, `fleet.jsonc`. */
export const configurationSchema = z.object({
  formatVersion: z.literal(1),
  defaults: settingsSchema,
  classes: z.array(classSchema).min(1),
  workspaces: z.array(workspaceEntrySchema),
  models: z.array(modelSchema),
  services: z.array(serviceSchema),
  exceptions: z.array(exceptionSchema).default([]),
});

/** The operators' declaration, parsed. */
export type Configuration = z.output<typeof configurationSchema>;

/** A priority class. */
export type RequestClass = Configuration["classes"][number];

/** A model that the fleet offers. */
export type Model = Configuration["models"][number];

/** An HTTP service that the fleet offers, other than a model. */
export type Service = Configuration["services"][number];
