/** Plain services beside the model engines. */
export * from "./client.ts";
