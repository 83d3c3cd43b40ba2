/** Addresses: IP address and port in one text. */

/** Splits an address into host and port. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}
