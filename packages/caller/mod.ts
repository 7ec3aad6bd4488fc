/** HTTP server for callers: the OpenAI-compatible API and calls of plain services. */
export * from "./caller_response.ts";
export * from "./parse.ts";
export * from "./key_removal.ts";
export * from "./server.ts";
