/** Callers: the OpenAI-compatible HTTP front and the path to plain services. */
export * from "./answers.ts";
export * from "./parse.ts";
export * from "./secrets.ts";
export * from "./server.ts";
