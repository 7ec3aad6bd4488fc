/** Helpers of the tests that run real hosts. */
import * as path from "node:path";
import * as clusterModule from "../../playground/cluster.ts";

/** Service files that the tests publish. */
export const SERVICES = path.join(
  import.meta.dirname,
  "../../playground/tanzraum",
);

/** An answer, read whole. */
export interface WholeAnswer {
  readonly status: number;
  readonly text: string;
  readonly headers: Headers;
}

/** Options of {@link sendCall}. */
export interface CallOptions {
  readonly key: string;
  readonly method?: string;
  readonly path?: string;
  readonly className?: string;
  readonly idempotencyKey?: string;
  readonly body?: string;
}

/**
 * Calls the room service through a host.
 *
 * @example
 * const answer = await sendCall(host, { key, method: "POST", idempotencyKey: "k" });
 */
export async function sendCall(
  host: clusterModule.HostProcess,
  options: CallOptions,
): Promise<WholeAnswer> {
  const answer = await fetch(
    `${host.callerUrl}${options.path ?? "/services/rooms/bookings"}`,
    {
      method: options.method ?? "POST",
      headers: {
        authorization: `Bearer ${options.key}`,
        "x-class": options.className ?? "booking",
        ...(options.idempotencyKey === undefined
          ? {}
          : { "idempotency-key": options.idempotencyKey }),
      },
      body: options.method === "GET" ? undefined : options.body ?? "{}",
    },
  );
  const text = await answer.text();
  return { status: answer.status, text, headers: answer.headers };
}

/**
 * Asks for a stream of tokens through a host.
 *
 * @example
 * const answer = await sendChat(host, { key, tokens: 20 });
 */
export async function sendChat(
  host: clusterModule.HostProcess,
  options: {
    readonly key: string;
    readonly tokens: number;
    readonly prompt?: string;
  },
): Promise<WholeAnswer> {
  const answer = await fetch(`${host.callerUrl}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${options.key}` },
    body: JSON.stringify({
      model: "timetable-8b",
      stream: true,
      max_tokens: options.tokens,
      messages: [{ role: "user", content: options.prompt ?? "Rooms?" }],
    }),
  });
  const text = await answer.text();
  return { status: answer.status, text, headers: answer.headers };
}

/**
 * Takes an operation ticket from a host.
 *
 * @example
 * const ticket = await takeTicket(host, key);
 */
export async function takeTicket(
  host: clusterModule.HostProcess,
  key: string,
): Promise<string> {
  const answer = await sendCall(host, { key, path: "/operations" });
  return JSON.parse(answer.text).ticket as string;
}

/**
 * Waits until `check` holds; false if it does not within the time.
 *
 * @example
 * t.ok(await waitUntil(async () => (await sendCall(host, options)).status === 401));
 */
export async function waitUntil(
  check: () => boolean | Promise<boolean>,
  ms = 20_000,
): Promise<boolean> {
  const until = Date.now() + ms;
  while (Date.now() < until) {
    if (await check()) return true;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  return false;
}
