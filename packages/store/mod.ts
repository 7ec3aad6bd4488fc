/** The platform's key-value service, met through the etcd v3 JSON gateway. */
export * from "./claims.ts";
export * from "./client.ts";
export * from "./config_store.ts";
export * from "./feed.ts";
export * from "./lease_holder.ts";
export * from "./prefix_cache.ts";
export * from "./wire.ts";
