import type { InputError } from './inputError.js'

/** Error codes of Node.js with a status of their own; all other errors of the parser are answered with 400. */
const statuses: Readonly<Record<string, InputError['status']>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431
}

/** Decodes the error of a `clientError` event; undefined when it is one of the connection. */
export function decodeInputError (code: string | undefined): InputError | undefined {
  if (code === undefined) return undefined
  const status = statuses[code] ?? (code.startsWith('HPE_') ? 400 : undefined)
  return status === undefined ? undefined : { code, status }
}
