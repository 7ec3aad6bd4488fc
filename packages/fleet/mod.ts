/** Client of the platform's fleet API, and scaling orders for backend servers. */
export * from "./client.ts";
export * from "./orders.ts";
