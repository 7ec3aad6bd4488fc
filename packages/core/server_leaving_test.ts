/** Tests what a host does with servers that announce their leaving. */
import * as tapModule from "tap";
import * as core from "./mod.ts";
import * as testing from "./testing.ts";

const tap = tapModule.default;

function listServers(
  servers: readonly { readonly name: string; readonly state: "live" }[],
): core.ServerInfo[] {
  return servers.map((server) => ({ ...server, pool: "rooms", url: "" }));
}

const LISTED = listServers([
  { name: "r1", state: "live" },
  { name: "r2", state: "live" },
]);

function sendAnnouncement(dispatcher: core.Dispatcher): void {
  dispatcher.handle({
    kind: "responded",
    server: "r1",
    signals: { ...core.NO_SIGNALS, leaving: true },
    sentAt: 0,
    succeeded: true,
  }, 0);
}

function startThree(dispatcher: core.Dispatcher): string[] {
  return [1, 2, 3].flatMap((n) => {
    const request = testing.buildRequest(`a${n}`, { tier: 1 });
    return dispatcher.handle({ kind: "arrived", request }, n);
  }).flatMap((effect) => effect.kind === "start" ? [effect.server.name] : []);
}

tap.test("a server that announces its leaving gets nothing, also in retry or while connecting", (t) => {
  const dispatcher = testing.startDispatcher();
  sendAnnouncement(dispatcher);
  t.notOk(dispatcher.maySendTo("r1", 0));
  t.same(startThree(dispatcher), ["r2", "r2"]);
  const effects = dispatcher.handle({
    kind: "failed",
    requestId: "a1",
    attempt: 1,
    failure: "refused",
    answerStarted: false,
    resumable: false,
  }, 4);
  const started = effects.flatMap((effect) =>
    effect.kind === "start" ? [effect.server.name] : []
  );
  t.notOk(started.includes("r1"));
  t.end();
});

// Guards against a leaving server that is used again because its entry expired
// during an outage of the store and came back.
tap.test("a leaving server stays out of use when it is listed again", (t) => {
  const dispatcher = testing.startDispatcher();
  sendAnnouncement(dispatcher);
  [[LISTED[1]], LISTED].forEach((servers) =>
    dispatcher.handle({ kind: "servers_changed", servers }, 10)
  );
  t.same(startThree(dispatcher), ["r2", "r2"]);
  t.end();
});
