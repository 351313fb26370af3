/** Choice of the processes that read the platform's store for the others. */
export * from "./choose_reader.ts";
export * from "./delay_change.ts";
