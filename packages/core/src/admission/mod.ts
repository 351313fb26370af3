/** Admission of requests to one runner. */
export * from "./admission.ts";
