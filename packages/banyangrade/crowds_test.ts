/** Tests that clients that keep no limits do not end a host of `banyangrade serve`. */
import * as tap from "tap";
import * as utils from "@banyangrade/utils";
import * as crowds from "@banyangrade/utils/crowd_testing.ts";
import * as clusterModule from "../../playground/cluster.ts";
import * as testing from "./process_testing.ts";

/** Memory of the smallest machines of the users' pages, in MB. */
const MEMORY_MB = 250;
/** Connections of callers that the host accepts. */
const MAX_CONNECTIONS = 256;
/** Descriptors that a host may use beside those of its callers: its own, and a crowd at another port. */
const OTHER_DESCRIPTORS = 256;
/** Connections of a crowd that would need more descriptors than that. */
const SILENT_CROWD = 600;
/** Limits of the port for callers. */
const CALLER_LIMITS = {
  max_body_bytes: 4 * 1024 * 1024,
  max_buffered_bytes: 16 * 1024 * 1024,
  max_connections: MAX_CONNECTIONS,
};

/** Time for which a host that hangs is waited for, in ms. */
const ANSWER_MS = 15_000;

async function waitForAnswer(): Promise<false> {
  await utils.waitFor(ANSWER_MS);
  return false;
}

type Listener = "callers" | "operations" | "hosts";

function getTarget(
  host: clusterModule.HostProcess,
  listener: Listener,
): crowds.CrowdTarget {
  const urls = {
    callers: host.callerUrl,
    operations: host.operationsUrl,
    hosts: `http://${host.peerAddress}`,
  };
  const { hostname, port } = new URL(urls[listener]);
  return { host: hostname, port: Number(port) };
}

interface TestedCrowd {
  readonly listener: Listener;
  readonly load: crowds.CrowdLoad;
  readonly connections?: number;
}

/** Checks that a host outlives a crowd, and serves an ordinary request afterwards. */
async function checkCrowd(
  t: tap.Test,
  { listener, load, connections = crowds.CROWD }: TestedCrowd,
): Promise<void> {
  const cluster = await clusterModule.startCluster({
    hosts: ["rosenheim"],
    engines: ["rosenheim-engines"],
    services: ["rosenheim-rooms"],
    serviceFiles: testing.SERVICES,
    caller: CALLER_LIMITS,
  });
  t.teardown(cluster.close);
  const key = await cluster.createKey("studio-rosenheim", ["lookup"]);
  const [host] = cluster.hosts;
  const { child } = host;
  const isRunning = () => child.exitCode === null && child.signalCode === null;
  const isServed = async () => {
    const call = { key, method: "GET", className: "lookup" };
    const answer = await testing.sendCall(host, call).catch(() => undefined);
    const ready = await fetch(`${host.operationsUrl}/readyz`)
      .catch(() => undefined);
    return answer?.status === 200 && ready?.status === 200;
  };
  t.ok(await testing.waitUntil(isServed));
  const watch = crowds.watchProcess(child.pid ?? 0);
  await crowds.runCrowd(getTarget(host, listener), { load, connections });
  const served = await testing.waitUntil(async () =>
    !isRunning() || await Promise.race([isServed(), waitForAnswer()])
  );
  const held = watch.stop();
  t.ok(isRunning(), "the process lives");
  t.ok(served, "a request is served");
  t.ok(held.memoryMb < MEMORY_MB, `held ${Math.round(held.memoryMb)} MB`);
  t.ok(
    held.descriptors <= MAX_CONNECTIONS + OTHER_DESCRIPTORS,
    `held ${held.descriptors} descriptors`,
  );
}

const PATHS: Readonly<Record<Listener, readonly string[]>> = {
  callers: ["/v1/models", "/nowhere"],
  operations: ["/readyz", "/metrics", "/nowhere"],
  hosts: ["/"],
};

// Guards against a host that runs out of memory or descriptors because of what clients send without reading.
(["callers", "operations", "hosts"] as const).forEach((listener) => {
  const buildHead = (method: string, path: string) =>
    `${method} ${path} HTTP/1.1\r\nhost: x\r\n`;
  PATHS[listener].forEach((path) => {
    tap.t.test(
      `requests ahead at ${path} of serve's port for ${listener}`,
      (t) => {
        const request = `${buildHead("GET", path)}\r\n`;
        const load = crowds.buildRequestsAhead(request);
        return checkCrowd(t, { listener, load });
      },
    );
  });
  [true, false].forEach((announced) => {
    const kind = announced ? "announced" : "unannounced";
    tap.t.test(
      `endless ${kind} bodies at serve's port for ${listener}`,
      (t) => {
        const head = buildHead("POST", PATHS[listener][0]);
        const load = crowds.buildEndlessBody(head, { announced });
        return checkCrowd(t, { listener, load });
      },
    );
  });
  tap.t.test(
    `silent connections at serve's port for ${listener}`,
    (t) =>
      checkCrowd(t, {
        listener,
        load: { head: "" },
        connections: SILENT_CROWD,
      }),
  );
});
