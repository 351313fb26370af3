/** Name of a runner, unique in the fleet. */
export type RunnerId = string;

/** Name of a host, unique in the fleet. */
export type HostId = string;

/** Name of a workspace, unique in the fleet. */
export type WorkspaceId = string;

/** Identifier of one attempt at one request, a UUIDv7. */
export type AttemptId = string;

/**
 * Identifies one start of a process. A later start of the same process has a
 * higher epoch. Epochs are safe integers.
 */
export type Epoch = number;

/** Version of an accepted configuration; increases with each publication. */
export type ConfigurationVersion = number;
