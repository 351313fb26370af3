import * as z from "zod";

const positiveMs = z.number().int().positive();
const ratio = z.number().min(0).max(1);

/** Name of a priority class, highest first in `classes`. */
const className = z.string().regex(/^[a-z][a-z0-9-]*$/);

const loadSchema = z.object({
  /** No engine is admitted work beyond this multiple of the pool's mean. */
  capMultiple: z.number().min(1).default(1.25),
  /** A router sends chats elsewhere beyond this multiple of the mean. */
  spillMultiple: z.number().min(1).default(1.04),
  /** Load in tokens below which the cap never refuses. */
  minimumTokens: z.number().int().nonnegative().default(4096),
});

const admissionSchema = z.object({
  maximumConcurrency: z.number().int().positive().default(64),
  maximumQueueLength: z.number().int().nonnegative().default(512),
  /** First-token time at p95 above which concurrency is lowered. */
  targetFirstTokenMs: positiveMs.default(1800),
  /** Time between tokens at p95 above which concurrency is lowered. */
  targetBetweenTokensMs: positiveMs.default(47),
});

const requestSchema = z.object({
  /** Priority class of requests that name none. */
  class: className.default("interactive"),
  deadlineMs: positiveMs.default(60_000),
  maximumBodyBytes: z.number().int().positive().default(1_048_576),
});

const retrySchema = z.object({
  /** Retries allowed as a share of first attempts. */
  budgetRatio: ratio.default(0.1),
  maximumAttempts: z.number().int().min(1).max(10).default(3),
  baseDelayMs: positiveMs.default(25),
  maximumDelayMs: positiveMs.default(1000),
});

const hedgeSchema = z.object({
  budgetRatio: ratio.default(0.05),
  /** Quantile of answer times after which a second attempt is sent. */
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
  /** Share of a contended class relative to other workspaces. */
  weight: z.number().positive().default(1),
});

const ledgerSchema = z.object({
  shardCount: z.number().int().min(1).max(1024).default(16),
  /** Keys issued before this window are refused as not run. */
  windowMs: positiveMs.default(86_400_000),
  maximumEntriesPerShard: z.number().int().positive().default(4096),
  groupCommitMs: positiveMs.default(20),
  leaseMs: positiveMs.default(10_000),
  /** What happens to money calls while the platform is down. */
  outageMode: z.enum(["refuse", "open-window"]).default("refuse"),
  openWindowMs: positiveMs.default(30_000),
});

const peakSchema = z.object({
  /** Whether classes that may wait are held back at the minute's peak. */
  holdBack: z.boolean().default(true),
  /** Longest time that a deferrable request is held back. */
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
  /** Rate at which the weight store may be read. */
  weightBytesPerSecond: z.number().positive().default(1e9),
  /** Time for which a runner keeps a model that it was given. */
  dwellMs: positiveMs.default(600_000),
  /** Time for which a model has to be hot or cold before a runner moves. */
  demandWindowMs: positiveMs.default(180_000),
  /** A model is hot above this multiple of the fleet's mean load. */
  hotRatio: z.number().min(1).default(1.25),
  /** A model is cold below this multiple of the fleet's mean load. */
  coldRatio: ratio.default(0.8),
});

/** Every setting that a default or an exception may set. */
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

/** What an exception applies to; every named field has to match. */
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

/** What an exception applies to. */
export type Match = z.output<typeof matchSchema>;

/** Settings in which every section and field is optional. */
export type SettingsPatch = {
  [Section in keyof Settings]?: Partial<Settings[Section]>;
};

/** Like the settings, without their default values. */
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

/** A deviation from the defaults with the reason that stays with it. */
export const exceptionSchema = z.strictObject({
  match: matchSchema,
  set: settingsPatchSchema,
  reason: z.string().trim().refine((reason) => reason !== "", "a sentence"),
});

/** A deviation from the defaults. */
export type Exception = z.output<typeof exceptionSchema>;

const classSchema = z.object({
  name: className,
  /** Lower is served first. */
  priority: z.number().int().nonnegative(),
  /** Whether requests may be held back until the busiest minute has passed. */
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
  /** Name under which engines know the model. */
  engineModel: z.string().optional(),
  adapters: z.array(z.string()).default([]),
  version: z.string().default("1"),
  minimumRunners: z.number().int().nonnegative().default(1),
  /** Bytes that a runner fetches from the weight store to load it. */
  weightBytes: z.number().positive().default(16e9),
  /** Share of its runners that only prefill; 0 makes all of them mixed. */
  prefillShare: ratio.default(0),
});

const routeSchema = z.object({
  method: z.string().regex(/^[A-Z]+$/),
  /** Path below the service; `*` stands for one segment. */
  path: z.string().startsWith("/"),
  idempotent: z.boolean(),
});

const serviceSchema = z.object({
  name: z.string().regex(/^[a-z][a-z0-9-]*$/),
  routes: z.array(routeSchema).default([]),
});

/** The operators' declaration, `fleet.jsonc`. */
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

/** A plain service that the fleet offers. */
export type Service = Configuration["services"][number];
