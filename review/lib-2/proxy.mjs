/** A loopback proxy that delays, drops or resets what one host and one address send to each other. */
import * as net from "node:net";

/** Starts a proxy to an address. Modes: "pass", "silent" (nothing arrives any more), "reset", "refuse". */
export async function startProxy(target) {
  const [host, port] = target.split(":");
  const pairs = new Set();
  let mode = "pass";
  let delayMs = 0;
  const forward = (from, to, pair) => {
    from.on("data", (bytes) => {
      if (pair.dead || mode === "silent") {
        pair.dead = true;
        return;
      }
      if (delayMs === 0) return void to.write(bytes);
      setTimeout(() => to.destroyed || to.write(bytes), delayMs);
    });
    from.on("end", () => pair.dead || mode === "silent" || to.end());
    from.on("error", () => undefined);
    from.on("close", () => {
      pairs.delete(pair);
      if (!pair.dead && mode !== "silent") to.destroy();
    });
  };
  const server = net.createServer({ allowHalfOpen: true }, (caller) => {
    if (mode === "refuse") return void caller.resetAndDestroy();
    const callee = net.connect({ port: Number(port), host, allowHalfOpen: true });
    const pair = { caller, callee, dead: mode === "silent" };
    pairs.add(pair);
    forward(caller, callee, pair);
    forward(callee, caller, pair);
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    setMode: (next) => {
      mode = next;
      if (mode !== "reset" && mode !== "refuse") return;
      pairs.forEach(({ caller, callee }) => {
        caller.resetAndDestroy();
        callee.resetAndDestroy();
      });
      if (mode === "reset") mode = "pass";
    },
    setDelay: (ms) => {
      delayMs = ms;
    },
    /** Makes the connections that are open now silent for good; new ones work. */
    silenceOpen: () =>
      pairs.forEach((pair) => {
        pair.dead = true;
      }),
    countOpen: () => pairs.size,
    close: () => {
      server.close();
      pairs.forEach(({ caller, callee }) => {
        caller.destroy();
        callee.destroy();
      });
    },
  };
}
