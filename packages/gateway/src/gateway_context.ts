import type { Socket } from "node:net";
import type { KnownRouters } from "@jasminetide/core/hashing";
import type { PrefixHolders } from "@jasminetide/core/pools";
import type { RandomSource } from "@jasminetide/core/random";
import type { RouteTable } from "@jasminetide/core/routes";
import type { TimerService } from "@jasminetide/core/timers";
import type { HedgePolicies } from "./hedge_policies.ts";
import type { GraceEnd } from "./grace_end.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Logger } from "@jasminetide/runtime/logging";
import type { LimitNews } from "./limits/mod.ts";
import type { LoadReports } from "./load_reports/mod.ts";
import type { PrefixOwners } from "./prefix_owners/mod.ts";
import type { RequestLog } from "./request_log.ts";
import type { MemoryBudgets } from "./memory_budgets.ts";
import type { WireProtocol } from "./protocol.ts";
import type { CrashGuard } from "./quarantine/mod.ts";
import type { ServiceStates } from "./service_states.ts";
import type { StreamVersions } from "./stream_versions/mod.ts";
import type { Directory } from "./upstreams/mod.ts";

/** State and services of a router that are used to serve a request. */
export type GatewayContext = MemoryBudgets & {
  protocol: WireProtocol;
  directory: Directory;
  holders: PrefixHolders;
  /** Gateways that know which engines hold a prefix. */
  prefixOwners: PrefixOwners;
  /** Keeps prompts that crash runners from them. */
  crashGuard: CrashGuard;
  /** Limits that runners state, shared with the other gateways. */
  limitNews: LimitNews;
  /** Loads of runners, shared with some other gateways. */
  loadReports: LoadReports;
  /** Whether plain requests that would wait past their goal are refused. */
  limitsWait: boolean;
  /** Lets streams go on only at the software version that began them. */
  streamVersions: StreamVersions;
  failureDomain: string;
  timers: TimerService;
  random: RandomSource;
  metrics: GatewayMetrics;
  requestLog: RequestLog;
  /** Log of the process; decisions on requests go to `requestLog`. */
  logger: Logger;
  /** Time since a caller's connection was accepted. */
  getConnectionAgeMs: (socket: Socket) => number;
  /** Whether both a declaration and the runners are known. */
  isComplete: () => boolean;
  /** Waits until that is so, or for `limitMs`. */
  waitUntilComplete: (limitMs: number) => Promise<void>;
  /** Current declared routes; undefined before the first version. */
  getRoutes: () => RouteTable | undefined;
  /** What is known of each service, and what may be sent there. */
  services: ServiceStates;
  /** Policies by which late requests get a second attempt. */
  hedging: HedgePolicies;
  /** Number of routers that share the retry budgets, including this one. */
  countRouters: () => number;
  /** All routers; replaced when they change. */
  getKnownRouters: () => KnownRouters;
  /** End of the grace of a planned stop. */
  graceEnd: GraceEnd;
  /** Whether answers should tell callers to close their connections. */
  isStopping: () => boolean;
  /** Whether a new request could no longer be completed. */
  isClosing: () => boolean;
};
