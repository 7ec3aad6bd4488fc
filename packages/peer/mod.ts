/** Other hosts: membership, configuration, capacity and usage between them, by tRPC. */
export * from "./client.ts";
export * from "./overlay.ts";
export * from "./protocol.ts";
export * from "./relay_protocol.ts";
export * from "./server.ts";
