/** A promise that its owner settles. */
export type Deferred = {
  promise: Promise<void>;
  isSettled: boolean;
  settle: () => void;
};

/** Creates a promise that is not settled yet. */
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
