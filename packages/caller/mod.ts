/** HTTP server for callers: the OpenAI-compatible API and calls of plain services. */
export * from "./answers.ts";
export * from "./parse.ts";
export * from "./secrets.ts";
export * from "./server.ts";
