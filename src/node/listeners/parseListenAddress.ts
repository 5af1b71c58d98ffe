/** Parses `ip:port`, with brackets around an IPv6 address. */
export function parseListenAddress (address: string): { readonly host: string, readonly port: number } {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator).replace(/^\[|\]$/g, ''), port: Number(address.slice(separator + 1)) }
}
