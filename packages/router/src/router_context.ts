import type { Match, RequestSettings } from "@jasminetide/core/configuration";
import type { RandomSource } from "@jasminetide/core/random";
import type { TimerService } from "@jasminetide/core/timers";
import type { ConfigurationHolder } from "@jasminetide/runtime/configuration";
import type { Logger } from "@jasminetide/runtime/logging";
import type { Membership } from "@jasminetide/runtime/membership";
import type { Metrics } from "@jasminetide/runtime/metrics";
import type { Connections, PoolStates } from "./attempts/mod.ts";
import type { KeyIndex } from "./callers/mod.ts";
import type { PoolViews } from "./choice/mod.ts";
import type { LedgerRoutes } from "./ledger/mod.ts";
import type { WorkspaceLimiter } from "./limits/mod.ts";

/** What the handlers of a router work with. */
export type RouterContext = {
  configuration: ConfigurationHolder;
  directory: Membership;
  connections: Connections;
  pools: PoolStates;
  ledgerRoutes: LedgerRoutes;
  poolViews: PoolViews;
  limiter: WorkspaceLimiter;
  /** Failure domain of this router. */
  failureDomain: string;
  timers: TimerService;
  random: RandomSource;
  metrics: Metrics;
  logger: Logger;
  /** Waits for a newer configuration that was heard of, but not for long. */
  syncConfiguration: () => Promise<void> | undefined;
  getKeyIndex: () => KeyIndex;
  resolve: (subject: Match) => RequestSettings;
};
