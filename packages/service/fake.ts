/**
 * Fake plain service for tests. It records each call that it executes, so that a
 * test can count how often an operation took effect.
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as utils from "@banyangrade/utils";

/** Fault that the fake service injects. */
export type ServiceFault =
  | { readonly kind: "none" }
  /** Refuses each call without executing it. */
  | { readonly kind: "refuse" }
  /** Executes the call, then closes the connection without a response. */
  | { readonly kind: "lose_answer" }
  /** Executes the call and responds after `ms` milliseconds. */
  | { readonly kind: "slow"; readonly ms: number }
  /** Responds with the identifier of another request. */
  | { readonly kind: "cross" };

/** A call that the fake service executed. */
export interface RunCall {
  readonly requestId: string;
  readonly method: string;
  readonly url: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** A running fake service. */
export interface FakeService {
  readonly url: string;
  /** Executed calls in the order in which they took effect. */
  readonly ran: readonly RunCall[];
  readonly setFault: (fault: ServiceFault) => void;
  readonly close: () => Promise<void>;
}

/**
 * Starts a fake plain service on the loopback interface.
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
  const server = http.createServer((request, response) => {
    run(request, response).catch(() => response.destroy());
  });

  async function run(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const active = fault;
    const id = String(request.headers[utils.REQUEST_ID_HEADER] ?? "");
    response.setHeader(
      utils.REQUEST_ID_HEADER,
      active.kind === "cross" ? "another-request" : id,
    );
    if (active.kind === "refuse") {
      response.writeHead(503, { [utils.RAN_HEADER]: "no" }).end();
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
    if (active.kind === "lose_answer") return void response.destroy();
    const ms = active.kind === "slow" ? active.ms : options.answerMs ?? 0;
    if (ms > 0) await utils.waitFor(ms);
    response.writeHead(200, { "content-type": "application/json" })
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
