/** Load reports of model engines. */
import type * as core from "@banyangrade/core";
import * as undici from "undici";
import * as utils from "@banyangrade/utils";

/**
 * Parses the load header of an engine's response; returns undefined if it is malformed.
 *
 * @example
 * parseLoad("engine-1", "3/0/0.5")?.running; // 3
 */
export function parseLoad(
  server: string,
  header: string | undefined,
): core.LoadReport | undefined {
  const [running, waiting, cacheFree] = (header ?? "").split("/").map(Number);
  const valid = [running, waiting, cacheFree].every(Number.isFinite);
  return valid ? { server, running, waiting, cacheFree } : undefined;
}

/**
 * Requests the load of an engine; returns undefined if the request fails.
 *
 * @example
 * const report = await fetchLoad(agent, { name: "engine-1", url });
 */
export async function fetchLoad(
  agent: undici.Agent,
  server: { readonly name: string; readonly url: string },
): Promise<core.LoadReport | undefined> {
  try {
    const response = await undici.request(`${server.url}/load`, {
      dispatcher: agent,
      signal: AbortSignal.timeout(1_000),
    });
    await response.body.dump();
    return parseLoad(
      server.name,
      response.headers[utils.LOAD_HEADER] as string | undefined,
    );
  } catch {
    return undefined;
  }
}
