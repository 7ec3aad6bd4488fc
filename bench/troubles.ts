/** Troubles of a run: when each begins and what it does to the servers. */
import type * as backendModule from "./backend.ts";
import type * as scenarios from "./scenario.ts";
import type * as timelineModule from "./timeline.ts";

/** Sendings of a poison request, and the time between two, in ms. */
const POISON_SENDINGS = 10;
const POISON_EVERY_MS = 2_000;

/** Options of {@link scheduleTrouble}. */
export interface TroubleOptions {
  readonly scenario: scenarios.Scenario;
  readonly timeline: timelineModule.Timeline;
  readonly backend: backendModule.Backend;
  /** Lets a request of a class arrive under a fingerprint. */
  readonly arrive: (load: scenarios.ClassLoad, fingerprint: string) => void;
  /** Told when servers were marked as leaving, or as live again. */
  readonly onChange: () => void;
}

/**
 * Schedules a trouble. Those of the load are in the load source.
 *
 * @example
 * scheduleTrouble({ kind: "crash", at: 1000, backAt: 5000 }, options);
 */
export function scheduleTrouble(
  trouble: scenarios.Trouble,
  options: TroubleOptions,
): void {
  const { timeline, backend } = options;
  const ordinary = backend.servers.filter((server) =>
    server.pool.serves === "engine" && !server.pool.spot
  );
  switch (trouble.kind) {
    case "burst":
    case "greedy":
    case "no_reports":
    case "tide":
      return;
    case "slow_engine":
      timeline.after(trouble.from, () => {
        ordinary[0].engine.slowdown = trouble.factor;
      });
      timeline.after(trouble.to, () => {
        ordinary[0].engine.slowdown = 1;
      });
      return;
    case "crash":
      return timeline.after(
        trouble.at,
        () => backend.crash(ordinary[1], trouble.backAt - trouble.at),
      );
    case "reclaim":
      return timeline.after(trouble.at, () => takeBack(trouble, options));
    case "poison":
      return timeline.after(trouble.at, () => sendPoison(options));
  }
}

/** All spot servers of the first failure domains get notice, then are gone. */
function takeBack(
  trouble: Extract<scenarios.Trouble, { kind: "reclaim" }>,
  { scenario, timeline, backend, onChange }: TroubleOptions,
): void {
  const { at, noticeMs, backAt, domains = 1 } = trouble;
  const hit = scenario.failureDomains.slice(0, domains);
  const spot = backend.servers.filter((server) =>
    server.pool.spot && hit.includes(server.pool.failureDomain)
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
      spot.forEach((server) => backend.crash(server, backAt - at - noticeMs)),
  );
  timeline.after(backAt - at, () => setState("live"));
}

/** Its caller sends it again every two seconds, wherever the balancer goes. */
function sendPoison({ scenario, timeline, arrive }: TroubleOptions): void {
  const load = scenario.loads.find((one) =>
    one.kind === "generate"
  ) as scenarios.ClassLoad;
  for (let count = 0; count < POISON_SENDINGS; count += 1) {
    timeline.after(count * POISON_EVERY_MS, () => arrive(load, "poison"));
  }
}
