import type { GatewayContext } from "../gateway_context.ts";
import type { Upstream } from "../upstreams/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";

/** Options of the version of a relayed stream. */
export type RelayedVersionOptions = {
  admitted: AdmittedRequest;
  context: Pick<GatewayContext, "streamVersions">;
};

/** Software version of the runners whose events one request has relayed. */
export class RelayedVersion {
  readonly #options: RelayedVersionOptions;
  #softwareVersion: string | undefined;
  #hasEvents = false;

  private constructor(options: RelayedVersionOptions) {
    this.#options = options;
    this.#softwareVersion = options.admitted.softwareVersion;
  }

  /** Creates the version of a request that has relayed nothing yet. */
  static create(options: RelayedVersionOptions): RelayedVersion {
    return new RelayedVersion(options);
  }

  /** Version that further attempts must have; any if undefined. */
  get current(): string | undefined {
    return this.#softwareVersion;
  }

  /** Records the runner of the events that are relayed next. */
  recordRunner({ record: { softwareVersion } }: Upstream): void {
    if (this.#hasEvents) return;
    this.#hasEvents = true;
    this.#softwareVersion = softwareVersion;
    const { admitted: { route, service }, context } = this.#options;
    if (!route.isResumable) return;
    const firstAttemptId = this.#getFirstAttemptId();
    const origin = { firstAttemptId, service, softwareVersion };
    context.streamVersions.recordOrigin(origin);
  }

  /** Records that the stream was relayed to its end. */
  recordComplete(): void {
    const { streamVersions } = this.#options.context;
    streamVersions.recordComplete(this.#getFirstAttemptId());
  }

  #getFirstAttemptId(): string {
    const { attemptId, takeUp } = this.#options.admitted.caller;
    return takeUp?.firstAttemptId ?? attemptId;
  }
}
