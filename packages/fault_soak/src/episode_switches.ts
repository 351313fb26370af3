/** Behaviour of runners that episodes include only when it is switched on. */
export type EpisodeSwitches = {
  /** Whether some answers have neither a length nor chunks. */
  hasUnframedAnswers: boolean;
  /** Whether some episodes send a part of a prompt that crashes runners. */
  hasCrashingPart: boolean;
  /** Whether runners of some episodes state limits on their requests. */
  hasStatedLimits: boolean;
  /** Whether some episodes send a request that crashes runners. */
  hasCrashingRequest: boolean;
  /** Whether links between gateways fail in some episodes. */
  hasPeerFaults: boolean;
  /** Whether runners of a service have two software versions. */
  hasSoftwareVersions: boolean;
  /** Whether callers rush to gateways without processor time in some episodes. */
  hasRushes: boolean;
  /** Whether failure domains are evacuated or return cold in some episodes. */
  hasDomainFaults: boolean;
};

/** Behaviour that episodes include unless they are run without it. */
export const defaultSwitches: EpisodeSwitches = {
  hasUnframedAnswers: true,
  hasCrashingPart: true,
  hasStatedLimits: true,
  hasCrashingRequest: true,
  hasPeerFaults: true,
  hasSoftwareVersions: true,
  hasRushes: true,
  hasDomainFaults: true,
};
