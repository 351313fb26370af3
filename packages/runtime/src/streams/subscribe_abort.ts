/**
 * Calls a listener when a signal is aborted, or immediately if it already is.
 * Disposing of the result removes the listener.
 */
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
