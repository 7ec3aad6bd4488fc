/** Model engines: calls with streaming, cancel and resume, and load reports. */
export * from "./client.ts";
export * from "./load.ts";
