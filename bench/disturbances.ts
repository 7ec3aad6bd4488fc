/**
 * Schedules the disturbances of a run that affect servers or send extra
 * requests.
 */
import type * as backendModule from "./backend.ts";
import type * as scenarios from "./scenario.ts";
import type * as timelineModule from "./timeline.ts";

/** Number of times that the poison request is sent. */
const POISON_REQUESTS = 10;
/** Interval between poison requests, in ms. */
const POISON_INTERVAL_MS = 2_000;

/** Options of {@link scheduleDisturbance}. */
export interface DisturbanceOptions {
  readonly scenario: scenarios.Scenario;
  readonly timeline: timelineModule.Timeline;
  readonly backend: backendModule.Backend;
  /** Makes a request of a class arrive with a given fingerprint. */
  readonly arrive: (load: scenarios.ClassLoad, fingerprint: string) => void;
  /** Called when servers are marked as leaving, or as live again. */
  readonly onChange: () => void;
}

/**
 * Schedules a disturbance. The load source applies bursts, greedy customers and
 * periodic load; the simulation suppresses the load reports.
 *
 * @example
 * scheduleDisturbance({ kind: "crash", at: 1000, restoredAt: 5000 }, options);
 */
export function scheduleDisturbance(
  disturbance: scenarios.Disturbance,
  options: DisturbanceOptions,
): void {
  const { timeline, backend } = options;
  const ordinary = backend.servers.filter((server) =>
    server.pool.serves === "engine" && !server.pool.spot
  );
  switch (disturbance.kind) {
    case "burst":
    case "greedy":
    case "no_reports":
    case "periodic_load":
      return;
    case "slow_engine":
      timeline.after(disturbance.from, () => {
        ordinary[0].engine.slowdown = disturbance.factor;
      });
      timeline.after(disturbance.to, () => {
        ordinary[0].engine.slowdown = 1;
      });
      return;
    case "crash":
      return timeline.after(
        disturbance.at,
        () =>
          backend.crash(ordinary[1], disturbance.restoredAt - disturbance.at),
      );
    case "reclaim":
      return timeline.after(
        disturbance.at,
        () => removeSpotServers(disturbance, options),
      );
    case "poison":
      return timeline.after(disturbance.at, () => sendPoison(options));
  }
}

/**
 * Marks the spot servers of the first failure domains as leaving, stops them
 * after the notice and restores them at `restoredAt`.
 */
function removeSpotServers(
  disturbance: Extract<scenarios.Disturbance, { kind: "reclaim" }>,
  { scenario, timeline, backend, onChange }: DisturbanceOptions,
): void {
  const { at, noticeMs, restoredAt, domains = 1 } = disturbance;
  const affected = scenario.failureDomains.slice(0, domains);
  const spot = backend.servers.filter((server) =>
    server.pool.spot && affected.includes(server.pool.failureDomain)
  );
  const setState = (state: "live" | "leaving") => {
    spot.forEach((server) => {
      server.info = { ...server.info, state };
    });
    onChange();
  };
  setState("leaving");
  timeline.after(
    noticeMs,
    () =>
      spot.forEach((server) =>
        backend.crash(server, restoredAt - at - noticeMs)
      ),
  );
  timeline.after(restoredAt - at, () => setState("live"));
}

/**
 * Sends the same poison request every two seconds, each to a randomly chosen
 * host.
 */
function sendPoison({ scenario, timeline, arrive }: DisturbanceOptions): void {
  const load = scenario.loads.find((one) =>
    one.kind === "generate"
  ) as scenarios.ClassLoad;
  for (let count = 0; count < POISON_REQUESTS; count += 1) {
    timeline.after(count * POISON_INTERVAL_MS, () => arrive(load, "poison"));
  }
}
