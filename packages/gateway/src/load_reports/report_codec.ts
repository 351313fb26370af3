import type { Buffer } from "node:buffer";
import type { ReportedLoad } from "@jasminetide/core/pools";
import * as z from "zod";

/** Load that a runner has reported to a gateway, as it is sent to others. */
export type LoadReport = {
  runnerId: string;
  /** Start of the runner's process, in Unix milliseconds. */
  startedAtMs: number;
  /** Age at the time of sending. */
  ageMs: number;
  load: ReportedLoad;
};

const count = z.number().nonnegative();

/** Reports as arrays without names, since many are sent. */
const wireSchema = z.array(z.tuple([
  z.string(),
  count,
  count,
  count,
  count,
  count,
  count,
])).max(100);

/** Encodes reports as one datagram. */
export function encodeReports(reports: readonly LoadReport[]): string {
  const rows: z.input<typeof wireSchema> = reports.map((report) => [
    report.runnerId,
    report.startedAtMs,
    Math.round(report.ageMs),
    report.load.running,
    report.load.waiting,
    report.load.slots,
    report.load.slowness ?? 1,
  ]);
  return JSON.stringify(rows);
}

/** Decodes a datagram; undefined if it has no reports in this format. */
export function decodeReports(bytes: Buffer): LoadReport[] | undefined {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString("utf8"));
  } catch {
    // Not JSON; the caller counts it as malformed.
    return undefined;
  }
  return wireSchema.safeParse(value).data?.map(
    ([runnerId, startedAtMs, ageMs, running, waiting, slots, slowness]) => ({
      runnerId,
      startedAtMs,
      ageMs,
      load: { running, waiting, slots, slowness },
    }),
  );
}
