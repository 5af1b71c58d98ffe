/** HTTP endpoints of a host that clients and the platform call. */
export const platformEndpoints = {
  isReadinessRequest: (method: string, target: string): boolean => method === 'GET' && getPath(target) === '/-/readiness',
  isAddressQuery: (method: string, target: string): boolean => method === 'GET' && getPath(target) === '/-/resolution',
  /** Failure domain of the client that sends an address query, from the query parameter `zone`; undefined when it is missing. */
  findClientDomain: (target: string): string | undefined => new URLSearchParams(target.split('?')[1] ?? '').get('zone') ?? undefined,
  /** Body of the response to an address query; clients cache it for `lifetimeMs`. */
  encodeAddressResponse: (addresses: readonly string[], lifetimeMs: number): string => JSON.stringify({ addresses, ttlS: lifetimeMs / 1000 })
} as const

function getPath (target: string): string {
  return target.split('?')[0]!
}
