/**
 * Stand-in for a plain service: it records each call that it runs, so that a
 * test can count how often an operation took effect.
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as utils from "@banyangrade/utils";

/** What is wrong with the service. */
export type ServiceFault =
  | { readonly kind: "none" }
  /** Refuses before running anything. */
  | { readonly kind: "refuse" }
  /** Runs the call, then breaks the connection without an answer. */
  | { readonly kind: "lose_answer" }
  /** Runs the call and answers after `ms`. */
  | { readonly kind: "slow"; readonly ms: number }
  /** Answers with another request's identifier. */
  | { readonly kind: "cross" };

/** A call that the service ran. */
export interface RunCall {
  readonly requestId: string;
  readonly method: string;
  readonly url: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** A running stand-in. */
export interface FakeService {
  readonly url: string;
  /** Calls in the order in which they took effect. */
  readonly ran: readonly RunCall[];
  readonly setFault: (fault: ServiceFault) => void;
  readonly close: () => Promise<void>;
}

/**
 * Starts a plain service's stand-in on loopback.
 *
 * @example
 * const service = await startFakeService({});
 * service.ran.length; // 0
 */
export async function startFakeService(
  options: { readonly port?: number; readonly answerMs?: number },
): Promise<FakeService> {
  const ran: RunCall[] = [];
  let fault: ServiceFault = { kind: "none" };
  const server = http.createServer((request, answer) => {
    run(request, answer).catch(() => answer.destroy());
  });

  async function run(
    request: http.IncomingMessage,
    answer: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const active = fault;
    const id = String(request.headers[utils.REQUEST_ID_HEADER] ?? "");
    answer.setHeader(
      utils.REQUEST_ID_HEADER,
      active.kind === "cross" ? "another-request" : id,
    );
    if (active.kind === "refuse") {
      answer.writeHead(503, { [utils.RAN_HEADER]: "no" }).end();
      return;
    }
    ran.push({
      requestId: id,
      method: request.method ?? "",
      url: request.url ?? "",
      headers: request.headers,
      body: Buffer.concat(chunks).toString("utf8"),
    });
    const number = ran.length;
    if (active.kind === "lose_answer") return void answer.destroy();
    const ms = active.kind === "slow" ? active.ms : options.answerMs ?? 0;
    if (ms > 0) await utils.waitFor(ms);
    answer.writeHead(200, { "content-type": "application/json" })
      .end(JSON.stringify({ number, path: request.url }));
  }

  await new Promise<void>((resolve) =>
    server.listen(options.port ?? 0, "127.0.0.1", resolve)
  );
  return {
    url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`,
    ran,
    setFault: (next) => {
      fault = next;
    },
    close: () => {
      server.closeAllConnections();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}
