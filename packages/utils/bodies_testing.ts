/** Test helpers: answers whose framing is sound and whose body is not, for each client that decodes bodies. */
import * as http from "node:http";
import type * as net from "node:net";
import type * as tapTypes from "tap";
import type * as errors from "./errors.ts";
import type * as result from "./result.ts";

/** Bodies that no call takes. */
const NO_BODIES = ["", "null", "true", "5", '"x"', "[]"];

/** What is no text; undefined, for an absent field, is not among them. */
export const NO_TEXTS = [null, true, 5, ["x"], {}];
/** What is no list of entries. */
export const NO_LISTS = [null, true, 5, "x", {}, [null], [5], [[]], [{}]];

/** A call with its sound answer. */
export interface SoundAnswer<Client> {
  readonly name: string;
  readonly call: (
    client: Client,
  ) => Promise<result.Result<unknown, errors.StepError>>;
  /** @default 200 */
  readonly status?: number;
  readonly body: Readonly<Record<string, unknown>>;
  /** Values of fields with which the body is of another form. */
  readonly flaws: Readonly<Record<string, readonly unknown[]>>;
  /** What the call returns for the sound body. */
  readonly taken: unknown;
}

/** A server that gives one answer to all calls. */
export interface BodyServer {
  readonly url: string;
  /** Sets the body of all answers from now on. */
  readonly setBody: (body: string) => void;
  readonly countCalls: () => number;
}

/**
 * Starts a server whose answers all have one status and one body.
 *
 * @example
 * const server = await startBodyServer(t, { status: 200 });
 */
export async function startBodyServer(
  t: tapTypes.Test,
  { status = 200 }: { readonly status?: number } = {},
): Promise<BodyServer> {
  let body = "";
  let calls = 0;
  const server = http.createServer((request, response) => {
    request.resume().on("end", () => {
      calls += 1;
      response.writeHead(status, { "content-type": "application/json" })
        .end(body);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    setBody: (next) => {
      body = next;
    },
    countCalls: () => calls,
  };
}

/**
 * Checks that a call takes its sound answer, and no body of another form.
 *
 * @example
 * await checkBodies(t, { sound, openClient: (url) => createFleetClient(url) });
 */
export async function checkBodies<Client>(
  t: tapTypes.Test,
  { sound, openClient }: {
    readonly sound: SoundAnswer<Client>;
    readonly openClient: (url: string) => Client;
  },
): Promise<void> {
  const server = await startBodyServer(t, sound);
  const client = openClient(server.url);
  for (const flawed of listFlawedBodies(sound)) {
    server.setBody(flawed);
    const read = await sound.call(client).catch((thrown) => ({ thrown }));
    const failed = { err: true, val: { code: "unknown_outcome" } };
    t.match(read, failed, `"${flawed}"`);
  }
  server.setBody(JSON.stringify(sound.body));
  const taken = { ok: true, val: sound.taken };
  t.match(await sound.call(client), taken, "the sound body");
}

/** Returns a sound answer's body with each of its fields of another form, and {@link NO_BODIES}. */
function listFlawedBodies<Client>(
  { body, flaws }: SoundAnswer<Client>,
): string[] {
  const flawed = Object.entries(flaws).flatMap(([field, others]) =>
    others.map((other) => JSON.stringify({ ...body, [field]: other }))
  );
  return [...NO_BODIES, ...flawed];
}
