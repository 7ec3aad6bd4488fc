/** Tracing one request through log lines as hosts write them. */
import * as tapModule from "tap";
import * as requestTrace from "./request_trace.ts";

const tap = tapModule.default;

const LINES = [
  `{"time":1000,"host":"h1","msg":"belief: Store unreachable.","error":{"code":"unreachable","step":"store.poll","peer":"store","message":"No answer."}}`,
  `{"time":4000,"host":"h2","msg":"belief: Store unreachable."}`,
  `12.5 h1 {"time":5000,"host":"h1","requestId":"r1","attempt":1,"server":"s1@7","route":"chat","version":3,"waitedMs":2,"msg":"request: Attempt started."}`,
  `{"time":5100,"host":"h1","requestId":"r2","attempt":1,"server":"s2@7","msg":"request: Attempt started."}`,
  `{"time":5200,"host":"h1","requestId":"r1","attempt":1,"server":"s1@7","failure":"connection_lost","reason":"read ECONNRESET","events":4,"msg":"request: Attempt failed."}`,
  `not JSON {`,
  `{"time":5210,"host":"h1","requestId":"r1","attempt":2,"server":"s2@7","route":"chat","version":3,"waitedMs":210,"resumeAfter":4,"msg":"request: Attempt started."}`,
  `{"time":6000,"host":"h1","requestId":"r1","totalMs":1000,"firstMs":90,"msg":"request: Request answered."}`,
];

tap.test("only the request's lines and its host's state changes are shown", (t) => {
  const story = requestTrace.formatRequestTrace(LINES.join("\n"), "r1");
  t.match(story, [
    /^\+0 ms h1 sent it to s1@7 \(attempt 1/,
    /^\+200 ms s1@7 failed it \(connection_lost\): read ECONNRESET/,
    /resume after event 4\.$/,
    /^\+1000 ms Answered completely after 1000 ms/,
    /^State changes of h1 in the 10 s before/,
    /^-4000 ms belief: Store unreachable\. store\.poll at store: No answer\./,
  ]);
  t.equal(story.length, 6);
  t.end();
});

tap.test("the trace of a stream that is taken up names versions and attempt", (t) => {
  const lines = [
    `{"time":1000,"host":"h1","requestId":"r3","attempt":1,"server":"s1@7","software":"v1.1","route":"chat","version":3,"waitedMs":2,"resumes":"r1","callerHas":7,"msg":"request: Attempt started."}`,
  ];
  t.same(requestTrace.formatRequestTrace(lines.join("\n"), "r3"), [
    "+0 ms h1 sent it to s1@7 (attempt 1, software v1.1, route chat, " +
    "configuration 3) after 2 ms; the caller takes up r1 after event 7.",
  ]);
  t.end();
});

tap.test("the trace of an attempt that was lost names the parts of its prompt", (t) => {
  const lines = [
    `{"time":1000,"host":"h1","requestId":"r4","attempt":1,"server":"s1@7","failure":"connection_lost","reason":"read ECONNRESET","events":0,"parts":"a1,b2","msg":"request: Attempt failed."}`,
  ];
  t.same(requestTrace.formatRequestTrace(lines.join("\n"), "r4"), [
    "+0 ms s1@7 failed it (connection_lost): read ECONNRESET The caller had " +
    "received 0 events. Its prompt has the parts a1,b2.",
  ]);
  t.end();
});

tap.test("the trace of a request that lost its server names its fingerprint and suspects", (t) => {
  const lines = [
    `{"time":900,"host":"h1","change":"withheld","fingerprints":"Zk3b","servers":"s1@7","msg":"server: Suspects changed."}`,
    `{"time":1000,"host":"h1","requestId":"r5","attempt":1,"server":"s1@7","failure":"connection_lost","reason":"read ECONNRESET","events":0,"fingerprint":"Zk3b","msg":"request: Attempt failed."}`,
    `{"time":1001,"host":"h1","requestId":"r5","code":"poison_request","ran":"unknown","step":"dispatch","peer":"this host","fingerprint":"Zk3b","msg":"request: Request refused."}`,
  ];
  t.same(requestTrace.formatRequestTrace(lines.join("\n"), "r5"), [
    "+0 ms s1@7 failed it (connection_lost): read ECONNRESET The caller had " +
    "received 0 events. Fingerprint Zk3b.",
    "+1 ms h1 refused it at dispatch (poison_request); ran: unknown; peer: this " +
    "host. Fingerprint Zk3b.",
    "State changes of h1 in the 10 s before:",
    "-100 ms server: Suspects changed. withheld: Zk3b at s1@7.",
  ]);
  t.end();
});

tap.test("the trace of an unknown request is empty", (t) => {
  t.same(requestTrace.formatRequestTrace(LINES.join("\n"), "r9"), []);
  t.end();
});

tap.test("the trace of a caller that left shows what was still running", (t) => {
  const lines = [
    `{"time":1000,"host":"h1","requestId":"r1","attempt":1,"server":"s1@7","route":"chat","version":3,"waitedMs":2,"msg":"request: Attempt started."}`,
    `{"time":1400,"host":"h1","requestId":"r1","totalMs":402,"stage":"answering","runningMs":400,"loopDelayMs":12,"msg":"request: Caller left."}`,
    `{"time":1401,"host":"h1","requestId":"r1","attempt":1,"server":"s1@7","afterMs":1,"msg":"request: Attempt stopped."}`,
  ];
  t.same(requestTrace.formatRequestTrace(lines.join("\n"), "r1").slice(1), [
    "+400 ms The caller disconnected after 402 ms (answering, 400 ms after it was " +
    "sent; detected up to 12 ms late).",
    "+401 ms h1 stopped the attempt at s1@7 1 ms after that.",
  ]);
  t.end();
});

tap.test("the trace of a request for brittle servers names their sender", (t) => {
  const lines = [
    `{"time":900,"host":"h1","servers":[],"msg":"server: Sender of other brittle servers than before."}`,
    `{"time":1000,"host":"h1","requestId":"r1","peer":"h2","cause":"brittle","route":"lookup","waitedMs":2,"msg":"request: Request handed over."}`,
    `{"time":1006,"host":"h2","requestId":"r1","attempt":1,"server":"s1@7","failure":"refused","reason":"full","brittle":true,"events":0,"msg":"request: Attempt failed."}`,
  ];
  t.same(requestTrace.formatRequestTrace(lines.join("\n"), "r1").slice(0, 2), [
    "+0 ms h1 does not send to the brittle servers and handed it to h2 (route lookup) after 2 ms.",
    "+6 ms s1@7, which is brittle, failed it (refused): full The caller had received 0 events.",
  ]);
  t.end();
});

tap.test("the trace of a handed request names the hosts and the loss of links", (t) => {
  const lines = [
    `{"time":900,"host":"h1","service":"planner","msg":"server: Links to the servers lost."}`,
    `{"time":1000,"host":"h1","requestId":"r1","peer":"h2","route":"chat","waitedMs":2,"msg":"request: Request handed over."}`,
    `{"time":1003,"host":"h1","requestId":"r1","peer":"h2","outcome":"declined","reason":"refused","msg":"request: Handover failed."}`,
    `{"time":1004,"host":"h1","requestId":"r1","peer":"h3","route":"chat","waitedMs":6,"msg":"request: Request handed over."}`,
    `{"time":1006,"host":"h3","requestId":"r1","attempt":1,"server":"s1@7","route":"chat","version":3,"waitedMs":6,"msg":"request: Attempt started."}`,
    `{"time":1200,"host":"h1","requestId":"r1","peer":"h3","outcome":"lost","reason":"other side closed","msg":"request: Handover failed."}`,
  ];
  t.same(requestTrace.formatRequestTrace(lines.join("\n"), "r1"), [
    "+0 ms h1 has no links to the servers and handed it to h2 (route chat) after 2 ms.",
    "+3 ms h2 declined it: refused",
    "+4 ms h1 has no links to the servers and handed it to h3 (route chat) after 6 ms.",
    "+6 ms h3 sent it to s1@7 (attempt 1, route chat, configuration 3) after 6 ms.",
    "+200 ms h3 was lost, so it may have run: other side closed",
    "State changes of h1 in the 10 s before:",
    "-100 ms server: Links to the servers lost.",
  ]);
  t.end();
});
