/** Tests of early responses to unfinished requests and of the limits on bodies. */
import * as net from "node:net";
import * as tap from "tap";
import * as core from "@banyangrade/core";
import * as caller from "./mod.ts";

const LIMITS = {
  ...caller.DEFAULT_LIMITS,
  maxBodyBytes: 100_000,
  maxBufferedBytes: 150_000,
};
const VALID_KEY_HEADER = "authorization: Bearer good\r\n";

/** Starts a server that returns the length of each body that has a valid key. */
async function startServer(t: tap.Test) {
  const held: caller.CallerRequest[] = [];
  const server = await caller.startCallerServer({
    hostname: "127.0.0.1",
    port: 0,
    limits: LIMITS,
    acceptHead: ({ headers, answer }) => {
      if (caller.getPresentedKey(headers) === "good") return true;
      answer.refuse(
        core.buildRefusal({ code: "not_authenticated", ran: "no" }),
      );
      return false;
    },
    onRequest: (request) => {
      if (request.headers["x-hold"] !== undefined) {
        return void held.push(request);
      }
      const body = `length ${request.body.length}`;
      request.answer.send({ status: 200, headers: {}, body });
    },
  });
  t.teardown(server.close);
  return { server, held };
}

/** Opens a TCP connection; `waitFor` returns the text received up to a pattern. */
function connectRaw(t: tap.Test, port: number) {
  const socket = net.connect(port, "127.0.0.1");
  t.teardown(() => socket.destroy());
  let text = "";
  const state = { closed: false };
  socket.on("data", (chunk) => {
    text += chunk.toString();
  });
  socket.on("error", () => undefined);
  socket.on("close", () => {
    state.closed = true;
  });
  const waitFor = async (pattern: RegExp): Promise<string> => {
    while (!pattern.test(text) && !state.closed) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    const seen = text;
    text = "";
    return seen;
  };
  return { socket, waitFor, state };
}

function formatHead(length: number, headers: string): string {
  return `POST /services/rooms/monday HTTP/1.1\r\nhost: x\r\n${headers}` +
    `content-length: ${length}\r\n\r\n`;
}

// Guards against a connection error in place of a refusal. The caller reads only
// after it has sent the whole body. If the host closes the connection with unread
// bytes of the body, the kernel resets it and drops the response.
[
  { name: "a body that is too long", headers: VALID_KEY_HEADER, status: 413 },
  { name: "a wrong key", headers: "x-api-key: bad\r\n", status: 401 },
].forEach(({ name, headers, status }) =>
  tap.t.test(
    `${name} is refused without closing the connection`,
    async (t) => {
      const { server } = await startServer(t);
      const { socket, waitFor, state } = connectRaw(t, server.port);
      socket.write(formatHead(300_000, headers));
      t.match(await waitFor(/"ran":"no"/), new RegExp(`^HTTP/1.1 ${status} `));
      socket.write(Buffer.alloc(300_000, "a"));
      socket.write(formatHead(3, VALID_KEY_HEADER) + "abc");
      t.match(await waitFor(/length/), /^HTTP\/1.1 200 .*length 3$/s);
      t.equal(state.closed, false);
    },
  )
);

// Guards against a caller that keeps sending a refused body and occupies its
// connection without limit.
tap.t.test(
  "the connection of a caller that keeps sending a refused body is closed",
  async (t) => {
    const { server } = await startServer(t);
    const { socket, waitFor, state } = connectRaw(t, server.port);
    socket.write(formatHead(1_000_000_000, VALID_KEY_HEADER));
    t.match(await waitFor(/"ran":"no"/), /^HTTP\/1.1 413 /);
    socket.write(Buffer.alloc(500_000, "a"));
    await waitFor(/never/);
    t.equal(state.closed, true);
  },
);

// Guards against running out of memory, which would end every stream of the host.
// Many callers send large bodies at the same time.
tap.t.test("the total size of buffered bodies is limited", async (t) => {
  const { server, held } = await startServer(t);
  const first = connectRaw(t, server.port);
  first.socket.write(formatHead(90_000, `${VALID_KEY_HEADER}x-hold: 1\r\n`));
  first.socket.write(Buffer.alloc(90_000, "a"));
  while (held.length === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  const second = connectRaw(t, server.port);
  const send = () => {
    second.socket.write(formatHead(90_000, VALID_KEY_HEADER));
    second.socket.write(Buffer.alloc(90_000, "b"));
    return second.waitFor(/"ran":"no"|length 90000/);
  };
  t.match(await send(), /^HTTP\/1.1 429 .*retry-after: 2/s);
  held[0].answer.send({ status: 200, headers: {}, body: "done" });
  await first.waitFor(/done/);
  t.match(await send(), /^HTTP\/1.1 200 /);
});
