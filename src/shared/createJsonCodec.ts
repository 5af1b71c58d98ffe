import type { ZodType } from 'zod'

/** Creates a codec for values that are stored as JSON text. `decode` returns undefined for text that is no valid value. */
export function createJsonCodec<Value> (schema: ZodType<Value>) {
  return {
    encode: (value: Value): Buffer => Buffer.from(JSON.stringify(value)),
    decode: (bytes: Buffer): Value | undefined => {
      const parsed = schema.safeParse(parseJson(bytes))
      return parsed.success ? parsed.data : undefined
    }
  } as const
}

function parseJson (bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'))
  } catch {
    // Text that is not JSON is no valid value.
    return undefined
  }
}
