import { getCapTokens, isUnderCap } from "@jasminetide/core/admission";
import { settingsSchema } from "@jasminetide/core/configuration";
import { getLoadBoundTokens, type PoolView } from "@jasminetide/core/routing";
import type { RunnerId } from "@jasminetide/core/tables";
import { loadBounds } from "./scenario.ts";

/** A sidecar's load and its view of the pool. */
export type LoadedSidecar = {
  id: RunnerId;
  pool: PoolView;
  loadTokens: number;
};

/** Work to be admitted. */
export type HeadroomRequest = {
  costTokens: number;
  /** Whether to apply the load cap instead of the lower refusal bound. */
  isLastResort: boolean;
  nowMs: number;
};

const admissionSettings = settingsSchema.parse({
  load: {
    capMultiple: loadBounds.capMultiple,
    minimumTokens: loadBounds.minimumTokens,
  },
});

/**
 * Returns whether work fits under a sidecar's bound, by the sidecar's exact
 * load and its delayed view of the mean load.
 */
export function hasHeadroom(
  sidecar: LoadedSidecar,
  request: HeadroomRequest,
): boolean {
  const { id, loadTokens, pool } = sidecar;
  const { costTokens, nowMs } = request;
  const own = pool.get(id);
  pool.observeLoad(id, { loadTokens, observedAtMs: nowMs });
  const capacity = own === undefined ? 1 : pool.getCapacity(own, nowMs);
  const capTokens = request.isLastResort
    ? getProductCapTokens(pool, { capacity, nowMs })
    : getLoadBoundTokens({
      meanTokens: pool.getMeanTokens(nowMs),
      multiple: loadBounds.refuseMultiple,
      minimumTokens: loadBounds.minimumTokens,
      capacity,
    });
  return isUnderCap(loadTokens, { costTokens, capTokens });
}

/** Gets the load cap by the same function as the product. */
function getProductCapTokens(
  pool: PoolView,
  options: { capacity: number; nowMs: number },
): number {
  const { capacity, nowMs } = options;
  const views = pool.getCandidates(nowMs);
  const oldestMs = Math.min(...views.map((view) => view.observedAtMs));
  return getCapTokens({
    tokens: pool.getMeanTokens(nowMs),
    ageMs: nowMs - oldestMs,
    errorTokens: 0,
    runners: views.length,
    staleRunners: 0,
  }, { settings: admissionSettings, capacity });
}
