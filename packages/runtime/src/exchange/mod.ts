/** Exchanges on the data path between routers and sidecars. */
export * from "./headers.ts";
