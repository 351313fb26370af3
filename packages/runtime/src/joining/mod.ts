/** Joining the fleet: starts membership and the fetching of configurations. */
import type { SplitSection } from "@jasminetide/core/configuration";
import {
  defaultMembershipLimits,
  type RunnerIdentity,
} from "@jasminetide/core/membership";
import { createSystemRandom } from "@jasminetide/core/random";
import type { Epoch } from "@jasminetide/core/tables";
import type { TimerService } from "@jasminetide/core/timers";
import {
  ConfigurationFollower,
  type ConfigurationHolder,
} from "../configuration/mod.ts";
import type { PeerClients } from "../control/mod.ts";
import type { ResourceStack } from "../disposal/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { Membership } from "../membership/mod.ts";
import type { PlatformClient } from "../platform/mod.ts";

/** Identity of a process, its fleet secret and its peers, from the settings. */
export type MemberSettings = {
  name: string;
  host: string;
  failureDomain: string;
  region: string;
  digestKey: string;
  peerAddresses: string[];
};

/** Identity of a process and the services that it joins the fleet with. */
export type JoinOptions = {
  settings: MemberSettings;
  /** A sidecar's runner; a router has none. */
  runner?: RunnerIdentity;
  epoch: Epoch;
  capacity: number;
  controlAddress: string;
  timers: TimerService;
  logger: Logger;
  platform: PlatformClient;
  peers: PeerClients;
  configuration: ConfigurationHolder;
  /** Long sections of the declaration to load; all by default. */
  sections?: readonly SplitSection[];
  getLoadTokens?: () => number;
  /** Stack that owns the started resources. */
  resources: ResourceStack;
};

/** Membership and configuration follower of a process that has joined. */
export type JoinResult = {
  membership: Membership;
  follower: ConfigurationFollower;
};

/** Starts to exchange digests and to fetch new configurations. */
export async function joinFleet(options: JoinOptions): Promise<JoinResult> {
  const { configuration, resources } = options;
  const membership = resources.use(await createMembership(options));
  resources.use(configuration.subscribe(({ body, version }) => {
    membership.setConfigurationVersion(version);
    membership.setLimits(body.defaults.membership);
  }));
  const follower = resources.use(createFollower(options, membership));
  membership.setVersionObserver((version, address) =>
    follower.observeVersion(version, address)
  );
  return { membership, follower };
}

function createMembership(options: JoinOptions): Promise<Membership> {
  const { controlAddress, getLoadTokens, peers, runner, settings } = options;
  const { digestKey, failureDomain, host, name, region } = settings;
  return Membership.create({
    identity: {
      type: runner === undefined ? "router" : "sidecar",
      name,
      host,
      failureDomain,
      region,
      controlAddress,
      ...(runner === undefined ? {} : { runner }),
    },
    epoch: options.epoch,
    capacity: options.capacity,
    limits: defaultMembershipLimits,
    digestKey,
    timers: options.timers,
    random: createSystemRandom(),
    logger: options.logger,
    platform: options.platform,
    getPeer: (address) => peers.get(address),
    peerAddresses: settings.peerAddresses,
    ...(getLoadTokens === undefined ? {} : { getLoadTokens }),
  });
}

function createFollower(
  options: JoinOptions,
  membership: Membership,
): ConfigurationFollower {
  const { configuration, logger, peers, platform, sections, timers } = options;
  return ConfigurationFollower.create({
    platform,
    holder: configuration,
    timers,
    logger,
    getPeer: (address) => peers.get(address),
    isWatcher: () => membership.isWatcher,
    listPeers: () => membership.listRouterAddresses(),
    whenReady: membership.whenReady,
    sections,
  });
}
