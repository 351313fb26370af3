/** Code shared by all processes; each folder is imported by its own path. */
export {};
