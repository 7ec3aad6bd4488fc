/** HTTP client of the platform's usage API. */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";

/** Calls of the usage API. */
export interface UsageClient {
  /** Reports a final window. The call is idempotent: the same window with the same figures may be sent again. */
  readonly report: (
    window: core.FinalWindow,
    fencingToken: number,
  ) => Promise<utils.Result<unknown, utils.StepError>>;
}

/**
 * Creates a client of the usage API.
 *
 * @example
 * const usage = createUsageClient("http://127.0.0.1:7500");
 * await usage.report(window, lease.token);
 */
export function createUsageClient(url: string): UsageClient {
  return {
    report: (window, fencingToken) => {
      const id = core.getWindowId(window.failureDomain, window.window);
      return utils.sendJson({
        method: "PUT",
        url: `${url}/v1/windows/${encodeURIComponent(id)}`,
        body: {
          figures: window.figures,
          adjustments: window.adjustments,
          fencingToken,
        },
        step: "usage.report",
        peer: "usage",
      });
    },
  };
}
