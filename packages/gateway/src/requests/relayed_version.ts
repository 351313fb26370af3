import type { GatewayContext } from "../gateway_context.ts";
import type { Upstream } from "../upstreams/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";

/** Options of the version of a relayed stream. */
export type RelayedVersionOptions = {
  admitted: AdmittedRequest;
  context: Pick<GatewayContext, "streamVersions">;
};

/**
 * Software version of the runners that one request for a stream is sent to. It
 * stays that of the first attempt, whatever became of it: other gateways may
 * have read it by then.
 */
export class RelayedVersion {
  readonly #options: RelayedVersionOptions;
  #softwareVersion: string | undefined;

  private constructor(options: RelayedVersionOptions) {
    this.#options = options;
    this.#softwareVersion = options.admitted.softwareVersion;
  }

  /** Creates the version of a request that was sent to no runner yet. */
  static create(options: RelayedVersionOptions): RelayedVersion {
    return new RelayedVersion(options);
  }

  /** Version that further attempts must have; any if undefined. */
  get current(): string | undefined {
    return this.#softwareVersion;
  }

  /**
   * Records the version of a runner that may begin the stream, and waits until
   * the other gateways can know it; undefined if they can already.
   */
  prepareSend(
    { record: { softwareVersion } }: Upstream,
  ): Promise<void> | undefined {
    const { admitted: { route, service }, context } = this.#options;
    if (!route.isResumable) return undefined;
    this.#softwareVersion = softwareVersion;
    const firstAttemptId = this.#getFirstAttemptId();
    const origin = { firstAttemptId, service, softwareVersion };
    return context.streamVersions.publishOrigin(origin);
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
