/** The platform's host list, backend servers and orders for them. */
export * from "./client.ts";
export * from "./orders.ts";
