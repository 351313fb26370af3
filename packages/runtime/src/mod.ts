/** Parts that all processes share. */
export {};
