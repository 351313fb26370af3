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

  /**
   * Waits until the other gateways can know the version of a runner that may
   * begin the stream; undefined if they can already.
   */
  prepareSend(
    { record: { softwareVersion } }: Upstream,
  ): Promise<void> | undefined {
    const { admitted: { route, service }, context } = this.#options;
    if (this.#hasEvents || !route.isResumable) return undefined;
    const firstAttemptId = this.#getFirstAttemptId();
    const origin = { firstAttemptId, service, softwareVersion };
    return context.streamVersions.publishOrigin(origin);
  }

  /** Records the runner of the events that are relayed next. */
  recordRunner({ record: { softwareVersion } }: Upstream): void {
    this.#hasEvents = true;
    this.#softwareVersion = softwareVersion;
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
