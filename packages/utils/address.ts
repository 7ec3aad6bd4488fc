/** Parses and checks network addresses. */
import * as net from "node:net";

/** An IP address and a port. */
export interface Address {
  readonly hostname: string;
  readonly port: number;
}

/**
 * Splits an address of the form `host:port`; brackets around an IPv6 address are removed.
 *
 * @example
 * splitAddress("127.0.0.1:80").port; // 80
 */
export function splitAddress(address: string): Address {
  const at = address.lastIndexOf(":");
  return {
    hostname: address.slice(0, at).replaceAll(/[[\]]/g, ""),
    port: Number(address.slice(at + 1)),
  };
}

const MAX_PORT = 65_535;

/**
 * Whether a value is an IPv4 address and a port that can be connected to. Addresses
 * that other processes wrote are checked, because the constructors of the HTTP and
 * WebSocket clients throw for others.
 *
 * @example
 * isIpv4Address("127.0.0.1:99999"); // false
 */
export function isIpv4Address(value: unknown): value is string {
  if (typeof value !== "string") return false;
  const { hostname, port } = splitAddress(value);
  return value === `${hostname}:${port}` && net.isIPv4(hostname) &&
    Number.isInteger(port) && port >= 1 && port <= MAX_PORT;
}
