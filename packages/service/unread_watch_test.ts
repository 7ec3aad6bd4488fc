/** Tests when a host counts as behind with reading a stream. */
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as unreadWatch from "./unread_watch.ts";

const tap = tapModule.default;

/** Wait for a slow caller after which servers end their responses, in ms. */
const SLOW_MS = 1_200;

/** Keeps the event loop busy, so that nothing that has arrived is read. */
function keepEventLoopBusy(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

// Guards against a healthy server that counts as failed: a busy host took its own delay for a sign that the server had sent nothing, and forgot that it was behind.
tap.test("data that a busy host takes up late do not show that it had read all", (t) => {
  const watch = new unreadWatch.UnreadWatch();
  watch.recordReading(SLOW_MS);
  keepEventLoopBusy(20);
  watch.recordReceived();
  watch.recordReading(0);
  t.equal(watch.isEndUnread(), true);
  keepEventLoopBusy(150);
  t.equal(watch.isEndUnread(), true, "the end is noticed late as well");
  watch.stop();
  t.end();
});

// Guards against a failing server that is not ejected since its caller was slow earlier.
tap.test("data after a wait in which the event loop turned show that it had", async (t) => {
  const watch = new unreadWatch.UnreadWatch();
  watch.recordReading(SLOW_MS);
  t.equal(watch.isEndUnread(), true);
  await utils.waitFor(150);
  t.equal(watch.isEndUnread(), false, "the server has sent nothing more");
  watch.recordReceived();
  watch.recordReading(0);
  t.equal(watch.isEndUnread(), false);
  watch.stop();
});
