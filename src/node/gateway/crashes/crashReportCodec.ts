import { z } from 'zod'
import type { CrashReport } from '../model/crashReport.js'

const schema = z.object({
  crashes: z.array(z.object({ instance: z.string().min(1), partIds: z.array(z.string().min(1)) })),
  soundPartIds: z.array(z.string().min(1))
})

/** Format of the crash reports in the store. */
export const crashReportCodec = {
  encode: (report: CrashReport): Buffer => Buffer.from(JSON.stringify(report)),
  /** Undefined when the value is not a valid report. */
  decode: (value: Buffer): CrashReport | undefined => {
    const parsed = schema.safeParse(parseJson(value))
    return parsed.success ? parsed.data : undefined
  }
} as const

function parseJson (value: Buffer): unknown {
  try {
    return JSON.parse(value.toString('utf8'))
  } catch {
    // A value that is not JSON is not a valid report.
    return undefined
  }
}
