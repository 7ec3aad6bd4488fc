/** Communication between hosts by tRPC: membership, configuration, capacity and usage. */
export * from "./client.ts";
export * from "./overlay.ts";
export * from "./protocol.ts";
export * from "./relay_protocol.ts";
export * from "./server.ts";
