import { loggingConstants } from './constants.js'
import type { LogFields } from '../../types/logFields.js'

/**
 * Formats one log line as JSON without its line feed. Values of fields with a secret name, the given secrets and
 * bearer tokens are replaced by `[redacted]`; long texts are truncated. Undefined fields are left out.
 */
export function formatLogLine (fields: LogFields, secrets: readonly string[]): string {
  const safe: Record<string, unknown> = {}
  for (const name in fields) {
    if (fields[name] !== undefined) safe[name] = formatField(name, fields[name])
  }
  const line = JSON.stringify(safe)
  // The cheap `includes` tests skip the replacements for lines without a secret.
  const redacted = secrets.reduce((text, secret) => text.includes(secret) ? text.replaceAll(secret, '[redacted]') : text, line)
  return redacted.includes('earer ') ? redacted.replace(/([Bb]earer )[^\s"\\]+/g, '$1[redacted]') : redacted
}

function formatField (name: string, value: LogFields[string]): LogFields[string] {
  if (loggingConstants.secretField.test(name)) return '[redacted]'
  if (typeof value !== 'string' || value.length <= loggingConstants.maxFieldLength) return value
  return `${value.slice(0, loggingConstants.maxFieldLength)}...`
}
