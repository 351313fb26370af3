/** How the operator's program finds a fleet. */
export * from "./operator_client.ts";
export * from "./profile.ts";
