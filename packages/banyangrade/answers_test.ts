/** Tests that no flawed answer passes for one, and that no sound one is lost, at each place of the product that reads answers. */
import * as tapModule from "tap";
import * as core from "@banyangrade/core";
import * as engine from "@banyangrade/engine";
import * as service from "@banyangrade/service";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as answers from "@banyangrade/utils/answers_testing.ts";

const tap = tapModule.default;

/** Times that each answer is read. */
const RUNS = Number(process.env.ANSWERS_RUNS ?? 1);
/** Longest time that a reader waits, in ms. */
const WAIT_MS = 3_000;

const FAILED = { kind: "failed" } as const;
const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
const SERVER = { name: "s", pool: "p", kind: "service" };

/** Forwards a request as a host does to a server, or to another host. */
async function forward(
  { port, upload }: answers.ReadRequest,
  stream: boolean,
): Promise<answers.ReadAnswer> {
  const connections = service.createServerConnections(
    `http://127.0.0.1:${port}`,
    { connections: 2, clock: utils.SYSTEM_CLOCK },
  );
  const events: Buffer[] = [];
  const outcome = await service.forwardRequest({
    connections,
    requestId: "r1",
    method: upload.length === 0 ? "GET" : "POST",
    path: "/rooms/",
    headers: {},
    body: upload,
    stream,
    lastEventId: -1,
    inactivityLimits: {
      headMs: WAIT_MS,
      betweenMs: WAIT_MS,
      sharesServer: false,
    },
    readResponseMetadata: (_status, headers) => ({
      requestId: headers["x-request-id"] as string | undefined,
      notRun: false,
      genuine: true,
      misdirected: false,
      signals: core.NO_SIGNALS,
    }),
    signal: AbortSignal.timeout(2 * WAIT_MS),
  }, { onEvents: ({ bytes }) => void events.push(bytes) });
  await connections.destroy();
  switch (outcome.kind) {
    case "whole": {
      const { status, body } = outcome.answer;
      return { kind: "whole", status, body: body.toString() };
    }
    case "streamed": {
      const body = Buffer.concat(events).toString();
      return { kind: "whole", status: outcome.head.status, body };
    }
    case "failed":
    case "aborted":
      return FAILED;
  }
}

async function callService(
  { port, upload }: answers.ReadRequest,
): Promise<answers.ReadAnswer> {
  const agent = utils.createBackendAgent();
  const outcome = await service.runCall(agent, {
    requestId: "r1",
    attempt: 1,
    server: buildServer(port),
    method: upload.length === 0 ? "GET" : "POST",
    path: "/",
    headers: {},
    body: upload,
    firstByteMs: WAIT_MS,
    signal: AbortSignal.timeout(2 * WAIT_MS),
  });
  await agent.destroy();
  if (outcome.kind !== "whole") return FAILED;
  const { status, body } = outcome.answer;
  return { kind: "whole", status, body: body.toString() };
}

async function callEngine(
  { port, upload }: answers.ReadRequest,
): Promise<answers.ReadAnswer> {
  const agent = utils.createBackendAgent();
  let read: answers.ReadAnswer = FAILED;
  const outcome = await engine.runAttempt(agent, {
    call: {
      requestId: "r1",
      attempt: 1,
      server: buildServer(port),
      path: "/v1/chat/completions",
      body: upload.toString(),
      stream: false,
      offset: 0,
      firstByteMs: WAIT_MS,
      betweenMs: WAIT_MS,
      signal: AbortSignal.timeout(2 * WAIT_MS),
    },
    sink: {
      onAnswer: ({ status, body }) => {
        read = { kind: "whole", status, body };
      },
      onEvents: () => undefined,
      onLoad: () => undefined,
    },
  });
  await agent.destroy();
  return outcome.kind === "whole" ? read : FAILED;
}

function buildServer(port: number): core.ServerInfo {
  const url = `http://127.0.0.1:${port}`;
  return { ...SERVER, url } as unknown as core.ServerInfo;
}

async function callApi(
  { port, upload }: answers.ReadRequest,
): Promise<answers.ReadAnswer> {
  const answer = await utils.sendJson<unknown>({
    method: upload.length === 0 ? "GET" : "POST",
    url: `http://127.0.0.1:${port}/usage`,
    body: upload.length === 0 ? undefined : upload.toString(),
    step: "test",
    peer: "test",
  });
  if (answer.err) return FAILED;
  return { kind: "whole", status: 200, body: String(answer.val) };
}

async function callStore(
  { port, upload }: answers.ReadRequest,
): Promise<answers.ReadAnswer> {
  const client = store.createStoreClient({ url: `http://127.0.0.1:${port}` });
  const value = upload.toString();
  const swapped = await client.swap({ key: "k", expected: 0, value });
  await client.close();
  if (swapped.err || swapped.val.kind === "lost") return FAILED;
  return {
    kind: "whole",
    status: 200,
    body: '{"header":{"revision":"9"},"succeeded":true}',
  };
}

const MARKS = ["x-request-id: r1", "x-attempt: 1"];
const DIGITS = { body: "1234567890", part: "12345" };

const READERS: readonly answers.AnswerReader[] = [
  {
    name: "a response that is forwarded",
    marks: MARKS,
    ...DIGITS,
    statuses: [200, 413],
    uploads: ["without", "with"],
    read: (request) => forward(request, false),
  },
  {
    name: "a stream that is forwarded",
    marks: MARKS,
    body: EVENTS.join(""),
    part: EVENTS[0],
    statuses: [200, 413],
    uploads: ["without", "with"],
    read: (request) => forward(request, true),
  },
  {
    name: "a response of a service to serve",
    marks: MARKS,
    ...DIGITS,
    statuses: [200, 413],
    uploads: ["without", "with"],
    read: callService,
  },
  {
    name: "a response of an engine to serve",
    marks: MARKS,
    ...DIGITS,
    statuses: [200, 413],
    uploads: ["with"],
    read: callEngine,
  },
  {
    name: "an answer of an API",
    marks: [],
    ...DIGITS,
    statuses: [200],
    uploads: ["without", "with"],
    read: callApi,
  },
  {
    name: "an answer of the store of serve",
    marks: [],
    body: '{"header":{"revision":"9"},"succeeded":true}',
    part: '{"header":{"revision":"9"},"succeeded":true',
    statuses: [200],
    uploads: ["with"],
    read: callStore,
  },
];

// Guards against a part of an answer, or bytes that are none, that a caller gets as a complete answer.
READERS.forEach((reader) => {
  tap.test(reader.name, (t) => answers.checkReader(t, { reader, runs: RUNS }));
});
