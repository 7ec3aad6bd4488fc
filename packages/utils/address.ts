/** Parses network addresses from settings. */

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
