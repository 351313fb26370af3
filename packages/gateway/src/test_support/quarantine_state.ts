import type { TestGateway } from "./test_gateway.ts";

/** What the dump of a gateway shows of its quarantine. */
export type QuarantineState = {
  parts: { partId: string }[];
  crashes: number;
  trialCrashes: number;
  pendingGateways: number;
};

/** Loads what the dump of a gateway shows of its quarantine. */
export async function loadQuarantine(
  { gateway }: TestGateway,
): Promise<QuarantineState> {
  const answer = await fetch(`http://${gateway.peerAddress}/dump`);
  const dump = await answer.json() as { quarantine: QuarantineState };
  return dump.quarantine;
}
