import {
  type Configuration,
  type RequestClass,
  resolveSettings,
  type Settings,
  settingsSchema,
} from "../configuration/mod.ts";
import { createFinding, type Finding, type FindingCode } from "./finding.ts";

/** Path of one setting. */
type SettingPath = readonly [section: keyof Settings, name: string];

/** Two settings that contradict each other in some values. */
type LimitRule = {
  code: FindingCode;
  /** Setting that may not be above the other. */
  lower: SettingPath;
  upper: SettingPath;
  /** Whether equal values contradict each other too. */
  isStrict?: true;
  /** Says what a lower value above the upper one leads to. */
  effect: string;
};

const deadline: SettingPath = ["request", "deadlineMs"];

const rules: readonly LimitRule[] = [
  {
    code: "minimumOverMaximum",
    lower: ["load", "spillMultiple"],
    upper: ["load", "capMultiple"],
    effect: "runners refuse chats before they are sent elsewhere",
  },
  {
    code: "minimumOverMaximum",
    lower: ["retry", "baseDelayMs"],
    upper: ["retry", "maximumDelayMs"],
    effect: "each delay is cut",
  },
  {
    code: "minimumOverMaximum",
    lower: ["membership", "holdDownMs"],
    upper: ["membership", "maximumHoldDownMs"],
    effect: "each hold-down is cut",
  },
  {
    code: "minimumOverMaximum",
    lower: ["membership", "digestPeriodMs"],
    upper: ["membership", "staleAfterMs"],
    isStrict: true,
    effect: "loads are outdated before the next digest",
  },
  {
    code: "minimumOverMaximum",
    lower: ["ledger", "groupCommitMs"],
    upper: ["ledger", "leaseMs"],
    isStrict: true,
    effect: "leases end before the next write",
  },
  {
    code: "minimumOverMaximum",
    lower: ["ledger", "openWindowMs"],
    upper: ["ledger", "windowMs"],
    effect: "keys are too old before the window ends",
  },
  {
    code: "minimumOverMaximum",
    lower: ["workspace", "requestsPerSecond"],
    upper: ["workspace", "tokensPerSecond"],
    effect: "requests cost a token at least, so tokens run out first",
  },
  {
    code: "goalOverLimit",
    lower: ["admission", "targetFirstTokenMs"],
    upper: ["stream", "firstByteMs"],
    effect: "streams are given up before the target is missed",
  },
  {
    code: "goalOverLimit",
    lower: ["admission", "targetBetweenTokensMs"],
    upper: ["stream", "betweenChunksMs"],
    effect: "streams are given up before the target is missed",
  },
  {
    code: "limitOverDeadline",
    lower: ["stream", "firstByteMs"],
    upper: deadline,
    effect: "the request ends first",
  },
  {
    code: "limitOverDeadline",
    lower: ["stream", "betweenChunksMs"],
    upper: deadline,
    effect: "the request ends first",
  },
  {
    code: "limitOverDeadline",
    lower: ["retry", "baseDelayMs"],
    upper: deadline,
    isStrict: true,
    effect: "the request ends before a retry",
  },
];

const productDefaults = settingsSchema.parse({});

/** Settings in one place of a declaration, and what is in effect there. */
type Place = {
  path: PropertyKey[];
  /** Whether the place sets a value itself. */
  isSet: (path: SettingPath) => boolean;
  settings: Settings;
  /** Class of the requests; undefined for the defaults. */
  requestClass: RequestClass | undefined;
};

/** Finds settings of defaults and exceptions that contradict each other. */
export function findSettingsFindings(configuration: Configuration): Finding[] {
  const places = [
    createDefaultsPlace(configuration),
    ...configuration.exceptions.map((_, index) =>
      createExceptionPlace(configuration, index)
    ),
  ];
  return places.flatMap((place) => [
    ...rules.flatMap((rule) => findContradiction(rule, place)),
    ...findRetryFindings(place),
    ...findDeadlineFindings(place),
  ]);
}

function createDefaultsPlace(configuration: Configuration): Place {
  const { defaults } = configuration;
  return {
    path: ["defaults"],
    isSet: (path) =>
      getValue(defaults, path) !== getValue(productDefaults, path),
    settings: defaults,
    requestClass: undefined,
  };
}

function createExceptionPlace(
  configuration: Configuration,
  index: number,
): Place {
  const { match, set } = configuration.exceptions[index];
  const { settings } = resolveSettings(configuration, match);
  return {
    path: ["exceptions", index, "set"],
    isSet: (path) => getValue(set, path) !== undefined,
    settings,
    requestClass: configuration.classes.find(({ name }) =>
      name === (match.class ?? settings.request.class)
    ),
  };
}

function getValue(
  settings: { [Section in keyof Settings]?: object },
  [section, name]: SettingPath,
): unknown {
  const fields = Object.entries(settings[section] ?? {});
  return fields.find(([field]) => field === name)?.[1];
}

/** Gets a value in effect; an exception's deadline overrides its class's. */
function getEffective(place: Place, path: SettingPath): number {
  const { isSet, requestClass, settings } = place;
  const isOfClass = path === deadline && !isSet(path);
  if (isOfClass && requestClass?.deadlineMs !== undefined) {
    return requestClass.deadlineMs;
  }
  return Number(getValue(settings, path));
}

function findContradiction(rule: LimitRule, place: Place): Finding[] {
  const { code, effect, isStrict = false, lower, upper } = rule;
  // A short deadline is no contradiction to limits that nobody has set.
  const blamed = upper === deadline ? [lower] : [lower, upper];
  const path = blamed.find(place.isSet);
  const low = getEffective(place, lower);
  const high = getEffective(place, upper);
  const isSound = isStrict ? low < high : low <= high;
  if (path === undefined || isSound) return [];
  return [createFinding(code, {
    path: [...place.path, ...path],
    text: `${lower.join(".")} is ${low}, ${upper.join(".")} is ${high}: ` +
      effect,
  })];
}

function findRetryFindings(place: Place): Finding[] {
  const { budgetRatio, maximumAttempts } = place.settings.retry;
  const path: SettingPath = ["retry", "budgetRatio"];
  if (!place.isSet(path) || maximumAttempts > 1 === budgetRatio > 0) return [];
  return [createFinding("noRetryAllowed", {
    path: [...place.path, ...path],
    text: budgetRatio > 0
      ? `A budget of ${budgetRatio} is never used, because ` +
        "retry.maximumAttempts is 1"
      : `A budget of 0 allows no retry, but retry.maximumAttempts is ` +
        String(maximumAttempts),
  })];
}

/** Finds deadlines that an exception extends beyond that of the class. */
function findDeadlineFindings(place: Place): Finding[] {
  const { isSet, requestClass, settings: { request: { deadlineMs } } } = place;
  const classDeadlineMs = requestClass?.deadlineMs;
  if (classDeadlineMs === undefined || !isSet(deadline)) return [];
  if (deadlineMs <= classDeadlineMs) return [];
  return [createFinding("limitOverDeadline", {
    path: [...place.path, ...deadline],
    text: `The deadline is ${deadlineMs} ms, but requests of class ` +
      `"${requestClass?.name}" end after ${classDeadlineMs} ms elsewhere`,
  })];
}
