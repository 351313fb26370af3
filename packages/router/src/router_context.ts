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
import type { LedgerShardCache } from "./ledger/mod.ts";
import type { WorkspaceLimiter } from "./limits/mod.ts";

/** Services and state that the request handlers of a router use. */
export type RouterContext = {
  configuration: ConfigurationHolder;
  membership: Membership;
  connections: Connections;
  poolStates: PoolStates;
  ledgerShards: LedgerShardCache;
  poolViews: PoolViews;
  limiter: WorkspaceLimiter;
  /** Failure domain of this router. */
  failureDomain: string;
  timers: TimerService;
  random: RandomSource;
  metrics: Metrics;
  logger: Logger;
  /** Waits a limited time for a newer configuration that a peer announced. */
  syncConfiguration: () => Promise<void> | undefined;
  getKeyIndex: () => KeyIndex;
  resolve: (subject: Match) => RequestSettings;
};
