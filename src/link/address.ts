/** Addresses of the form `ip:port`. */

/** Splits an address into host and port; removes the brackets of an IPv6 address. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}
