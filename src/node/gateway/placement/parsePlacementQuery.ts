import type { PlacementQuery } from './placementQuery.js'

/** Parses the target of a placement request; undefined when it names no host or no path. */
export function parsePlacementQuery (target: string): PlacementQuery | undefined {
  const fields = new URLSearchParams(target.split('?')[1] ?? '')
  const hostName = fields.get('host')?.toLowerCase() ?? ''
  const path = fields.get('path') ?? ''
  if (hostName === '' || !path.startsWith('/')) return undefined
  const timeLeftMs = parseCount(fields.get('timeLeftMs'))
  return {
    hostName,
    path,
    requestId: fields.get('id') ?? '',
    account: fields.get('account') ?? '',
    timeLeftMs: timeLeftMs > 0 ? timeLeftMs : undefined,
    promptTokens: parseCount(fields.get('tokens')),
    promptParts: (fields.get('parts') ?? '').split(',').filter(part => part !== '').map(part => {
      const [id = '', tokens = ''] = part.split(':')
      return { id, tokens: parseCount(tokens) }
    })
  }
}

function parseCount (text: string | null): number {
  const count = Number(text ?? 0)
  return Number.isFinite(count) && count > 0 ? count : 0
}
