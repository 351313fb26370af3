/** Explains the effective values of a subject and their origins. */
export * from "./explain_subject.ts";
export * from "./find_subjects.ts";
export * from "./report_explain.ts";
