import { platformConstants } from './constants.js'

/** Failure domain that the operator evacuates with this key; undefined when it names none. The value states nothing. */
export function decodeEvacuatedDomain (key: string): string | undefined {
  const domain = key.slice(platformConstants.evacuationPrefix.length)
  return key.startsWith(platformConstants.evacuationPrefix) && domain !== '' ? domain : undefined
}
