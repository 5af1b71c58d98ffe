import type { z } from 'zod'
import type { UserSettings } from './userSettings.js'

/** One setting: its names, its check and its documentation. */
export interface SettingDefinition {
  readonly key: keyof UserSettings
  /** Flag without the leading hyphens. */
  readonly flag: string
  /** Environment variable. */
  readonly variable: string
  readonly description: string
  /** What values are allowed, completing the sentence "must be ...". */
  readonly allowed: string
  readonly schema: z.ZodType
  readonly required: boolean
  /** Secret values never appear in messages. */
  readonly secret: boolean
  readonly defaultValue?: string | number
  /** Default as documented, where it is not a fixed value. */
  readonly defaultText?: string
}
