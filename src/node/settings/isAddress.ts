import { isIP } from 'node:net'

/** Whether `text` is `ip:port`, with brackets around an IPv6 address. */
export function isAddress (text: string, minPort: number): boolean {
  const match = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text)
  if (match === null) return false
  const [, ipv6, ipv4, port] = match
  const family = ipv6 === undefined ? isIP(ipv4!) : isIP(ipv6)
  return family === (ipv6 === undefined ? 4 : 6) && Number(port) >= minPort && Number(port) <= 65535
}
