import type {
  CapacityForecast,
  PrefixHolders,
  WindowedRetryBudget,
} from "@jasminetide/core/pools";
import type { RandomSource } from "@jasminetide/core/random";
import type { LatencyTracker } from "@jasminetide/core/retries";
import type { RequestKind, RouteTable } from "@jasminetide/core/routes";
import type { TimerService } from "@jasminetide/core/timers";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Logger } from "@jasminetide/runtime/logging";
import type { RequestLog } from "./request_log.ts";
import type { WireProtocol } from "./protocol.ts";
import type { Directory } from "./upstreams/mod.ts";

/** What serving a request needs of its router. */
export type GatewayContext = {
  protocol: WireProtocol;
  directory: Directory;
  holders: PrefixHolders;
  failureDomain: string;
  timers: TimerService;
  random: RandomSource;
  metrics: GatewayMetrics;
  requestLog: RequestLog;
  /** For what the process believes; requests have a log of their own. */
  logger: Logger;
  /** Declared routes in force; undefined before the first version. */
  getRoutes: () => RouteTable | undefined;
  getRepeatBudget: (service: string) => WindowedRetryBudget;
  getRoomForecast: (service: string) => CapacityForecast;
  /** Times to the first byte of a service's answers to a kind of request. */
  getFirstByteTimes: (service: string, kind: RequestKind) => LatencyTracker;
  /** Routers that share the budgets, this one included. */
  countRouters: () => number;
  /** Whether callers should use other connections from now on. */
  isStopping: () => boolean;
  /** Whether a request that comes now could not be finished any more. */
  isClosing: () => boolean;
};
