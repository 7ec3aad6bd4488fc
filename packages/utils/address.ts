/** Addresses as settings give them. */

/** An IP number and a port. */
export interface Address {
  readonly hostname: string;
  readonly port: number;
}

/**
 * Splits an address.
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
