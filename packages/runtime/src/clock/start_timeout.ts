/**
 * Starts a timeout whose handler runs after the bytes that have arrived were
 * read. The event loop handles timers before it reads, so after a stall a plain
 * timer would end what has been answered in time.
 */
export function startTimeout(
  delayMs: number,
  handler: () => void,
): Disposable {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(handler);
  }, delayMs);
  return {
    [Symbol.dispose]: () => {
      clearTimeout(timer);
      clearImmediate(immediate);
    },
  };
}
