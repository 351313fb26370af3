import { z } from "zod";
import {
  measureAttempts,
  measureChoices,
  measureEvents,
  measureHints,
  measureMembers,
  measureRouterDeclaration,
  measureSidecarDeclaration,
  measureTicks,
} from "./measurements.ts";
import { fitLine, type Point } from "./points.ts";
import { controlLimits, openStreams, targetSize } from "./target.ts";

/** A cost that grows with the fleet, and how it is measured. */
export type CapacityItem = {
  name: string;
  /** Processes that have this cost. */
  role: "router" | "sidecar" | "both";
  mechanism: string;
  /** What is counted on the horizontal axis. */
  sizeUnit: string;
  unit: "bytes" | "µs";
  /** Size in two years. */
  targetSize: number;
  /** Operations per second at the target size; only for times. */
  perSecond?: number;
  measure: () => Point[];
};

const ticksPerSecond = 5;

/** Time for which a sidecar keeps a completed answer, in seconds. */
const answerRetentionSeconds = 10;

/** All items of the capacity page, in the order of its table. */
export const capacityItems: readonly CapacityItem[] = [
  {
    name: "members",
    role: "both",
    mechanism: "membership tables (`core/membership`)",
    sizeUnit: "members",
    unit: "bytes",
    targetSize: targetSize.members,
    measure: measureMembers,
  },
  {
    name: "membership tick",
    role: "both",
    mechanism: "digests by rotation (`core/membership`)",
    sizeUnit: "members",
    unit: "µs",
    targetSize: targetSize.members,
    perSecond: ticksPerSecond,
    measure: measureTicks,
  },
  {
    name: "declaration",
    role: "router",
    mechanism: "manifest and parts (`core/configuration`)",
    sizeUnit: "workspaces",
    unit: "bytes",
    targetSize: targetSize.workspaces,
    measure: measureRouterDeclaration,
  },
  {
    name: "declaration without workspaces",
    role: "sidecar",
    mechanism: "only the parts needed (`runtime/configuration`)",
    sizeUnit: "workspaces",
    unit: "bytes",
    targetSize: targetSize.workspaces,
    measure: measureSidecarDeclaration,
  },
  {
    name: "routing decision",
    role: "router",
    mechanism: "rendezvous with bounded load (`core/routing`)",
    sizeUnit: "runners",
    unit: "µs",
    targetSize: targetSize.sidecars,
    perSecond: targetSize.requestsPerSecond / targetSize.routers,
    measure: measureChoices,
  },
  {
    name: "events of streams",
    role: "both",
    mechanism: "whole events relayed (`runtime/streams`)",
    sizeUnit: "events",
    unit: "µs",
    targetSize: targetSize.tokensPerSecond / targetSize.routers,
    perSecond: 1,
    measure: measureEvents,
  },
  {
    name: "answers kept for resume",
    role: "sidecar",
    mechanism: "attempts with their answers (`sidecar/requests`)",
    sizeUnit: "attempts",
    unit: "bytes",
    targetSize: Math.ceil(
      targetSize.requestsPerSecond * answerRetentionSeconds /
        targetSize.sidecars,
    ),
    measure: measureAttempts,
  },
  {
    name: "hints of chats held elsewhere",
    role: "sidecar",
    mechanism: "hint table (`core/routing`)",
    sizeUnit: "chats",
    unit: "bytes",
    targetSize: Math.ceil(targetSize.returningChats / targetSize.sidecars),
    measure: measureHints,
  },
];

const pointSchema = z.object({ x: z.number(), y: z.number() });

const figureSchema = z.object({
  name: z.string(),
  points: z.array(pointSchema).min(2),
  slope: z.number(),
  intercept: z.number(),
  atTarget: z.number(),
});

/** Schema of the committed data file. */
export const capacityDataSchema = z.object({
  command: z.string(),
  node: z.string(),
  figures: z.array(figureSchema),
});

/** Contents of the committed data file. */
export type CapacityData = z.output<typeof capacityDataSchema>;

/** Figures of one item. */
export type CapacityFigure = CapacityData["figures"][number];

/** Measures an item and extrapolates it to the size in two years. */
export function measureItem(item: CapacityItem): CapacityFigure {
  const points = item.measure();
  const { intercept, slope } = fitLine(points);
  return {
    name: item.name,
    points: points.map(({ x, y }) => ({ x, y: round(y) })),
    slope: round(slope),
    intercept: round(intercept),
    atTarget: round(intercept + slope * item.targetSize),
  };
}

/** Gets the share of a core that an item uses at its target size. */
export function getCpuShare(
  item: CapacityItem,
  figure: CapacityFigure,
): number {
  return figure.atTarget * (item.perSecond ?? 0) / 1_000_000;
}

/** Gets the number of open streams per process of a role at the peak. */
export function getOpenStreams(role: "router" | "sidecar"): number {
  const processes = role === "router"
    ? targetSize.routers
    : targetSize.sidecars;
  return Math.round(openStreams / processes);
}

/** Gets an amount of memory as a share of the limit for control. */
export function getMemoryShare(bytes: number): number {
  return bytes / controlLimits.memoryBytes;
}

function round(value: number): number {
  return Number(value.toPrecision(4));
}
