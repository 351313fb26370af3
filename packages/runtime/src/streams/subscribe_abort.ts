/** Calls a listener at the abort of a signal until disposed. */
export function subscribeAbort(
  signal: AbortSignal,
  listener: () => void,
): Disposable {
  if (signal.aborted) listener();
  signal.addEventListener("abort", listener);
  return {
    [Symbol.dispose]: () => signal.removeEventListener("abort", listener),
  };
}
