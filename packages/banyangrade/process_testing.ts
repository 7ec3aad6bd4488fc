/** Helpers for tests that run host processes. */
import * as path from "node:path";
import * as clusterModule from "../../playground/cluster.ts";

/** Folder of the service files that the tests publish. */
export const SERVICES = path.join(
  import.meta.dirname,
  "../../playground/tanzraum",
);

/** An HTTP response with its whole body. */
export interface FullResponse {
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
 * Sends a request to the room service through a host.
 *
 * @example
 * const response = await sendCall(host, { key, method: "POST", idempotencyKey: "k" });
 */
export async function sendCall(
  host: clusterModule.HostProcess,
  options: CallOptions,
): Promise<FullResponse> {
  const response = await fetch(
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
  const text = await response.text();
  return { status: response.status, text, headers: response.headers };
}

/**
 * Sends a streaming chat request through a host and reads the whole stream.
 *
 * @example
 * const response = await sendChat(host, { key, tokens: 20 });
 */
export async function sendChat(
  host: clusterModule.HostProcess,
  options: {
    readonly key: string;
    readonly tokens: number;
    readonly prompt?: string;
  },
): Promise<FullResponse> {
  const response = await fetch(`${host.callerUrl}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${options.key}` },
    body: JSON.stringify({
      model: "timetable-8b",
      stream: true,
      max_tokens: options.tokens,
      messages: [{ role: "user", content: options.prompt ?? "Rooms?" }],
    }),
  });
  const text = await response.text();
  return { status: response.status, text, headers: response.headers };
}

/**
 * Requests an operation ticket from a host.
 *
 * @example
 * const ticket = await takeTicket(host, key);
 */
export async function takeTicket(
  host: clusterModule.HostProcess,
  key: string,
): Promise<string> {
  const response = await sendCall(host, { key, path: "/operations" });
  return JSON.parse(response.text).ticket as string;
}

/**
 * Waits until `check` returns true. Returns false if it does not within the
 * time limit.
 *
 * @example
 * t.ok(await waitUntil(async () => (await sendCall(host, options)).status === 401));
 */
export async function waitUntil(
  check: () => boolean | Promise<boolean>,
  timeoutMs = 20_000,
): Promise<boolean> {
  const deadline = Date.now() + timeoutMs;
  while (Date.now() < deadline) {
    if (await check()) return true;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  return false;
}
