/** Client of the usage interface. */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";

/** The calls of the usage interface. */
export interface UsageClient {
  /** Reports a fixed window; the same identifier with the same figures may be sent again. */
  readonly report: (
    window: core.FinalWindow,
    fencingToken: number,
  ) => Promise<utils.Result<unknown, utils.StepError>>;
}

/**
 * Makes a client.
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
