/** The size that the fleet is built towards, from the users' first letter. */
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

/** What a process may spend on control. */
export const controlLimits = {
  cpuShare: 0.023,
  memoryBytes: 128 * 1024 * 1024,
  bytesPerSecond: 11_000,
} as const;

/** Streams that are open at the peak in the whole fleet. */
export const openStreams = targetSize.tokensPerSecond *
  targetSize.secondsBetweenTokens;
