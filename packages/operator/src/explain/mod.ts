/** Explains effective values and whence they come. */
export * from "./explain_subject.ts";
export * from "./find_subjects.ts";
export * from "./report_explain.ts";
