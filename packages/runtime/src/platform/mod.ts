/** The platform's object API and host list. */
export * from "./client.ts";
export * from "./drains.ts";
export * from "./types.ts";
export * from "./write_limiter.ts";
