import { RequestError } from '../requests/requestError.js'

/** Parses a JSON body. Throws `RequestError`. */
export function parseJsonBody (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw new RequestError('malformed_json', 'the body is not JSON', 400, 'not_run')
  }
}
