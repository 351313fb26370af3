/** A promise that is resolved from outside. */
export type Deferred = {
  promise: Promise<void>;
  isSettled: boolean;
  settle: () => void;
};

/** Creates a pending promise. */
export function createDeferred(): Deferred {
  let resolve = () => {};
  const deferred: Deferred = {
    promise: new Promise((done) => resolve = done),
    isSettled: false,
    settle: () => {
      deferred.isSettled = true;
      resolve();
    },
  };
  return deferred;
}
