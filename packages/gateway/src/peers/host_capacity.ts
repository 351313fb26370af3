/** A process's share of its host. */
export type HostShare = {
  cores: number;
  /** Speed of a core, relative to others. */
  coreSpeed: number;
  linkMbps: number;
};

/**
 * Gets what a process can serve to others besides its own callers, in cores of
 * a host with a good connection.
 */
export function getHostCapacity(host: HostShare): number {
  return Math.min(host.cores * host.coreSpeed, host.linkMbps / mbpsPerCore);
}

/** Bandwidth with which one core is used well. */
const mbpsPerCore = 100;
