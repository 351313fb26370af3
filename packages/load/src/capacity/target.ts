/** Fleet size in two years, as stated by the users. */
export const targetSize = {
  routers: 390,
  sidecars: 660,
  members: 1050,
  requestsPerSecond: 3500,
  tokensPerSecond: 1_400_000,
  secondsBetweenTokens: 0.047,
  returningChats: 2_300_000,
  workspaces: 24_000,
  exceptions: 2000,
  configurationChangesPerDay: 680,
} as const;

/** Limits of a process's resources for control. */
export const controlLimits = {
  cpuShare: 0.023,
  memoryBytes: 128 * 1024 * 1024,
  bytesPerSecond: 11_000,
} as const;

/** Number of open streams in the whole fleet at the peak. */
export const openStreams = targetSize.tokensPerSecond *
  targetSize.secondsBetweenTokens;
