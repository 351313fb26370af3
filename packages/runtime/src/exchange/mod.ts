/** Headers of requests and answers between routers and sidecars. */
export * from "./headers.ts";
