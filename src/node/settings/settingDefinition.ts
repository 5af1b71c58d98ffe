import type { z } from 'zod'
import type { UserSettings } from './userSettings.js'

/** One setting: its names, validation and documentation. */
export interface SettingDefinition {
  readonly key: keyof UserSettings
  /** Flag without the leading hyphens. */
  readonly flag: string
  /** Environment variable. */
  readonly variable: string
  readonly description: string
  /** Allowed values, as the end of the sentence "must be ...". */
  readonly allowed: string
  readonly schema: z.ZodType
  readonly required: boolean
  /** Secret values never appear in messages. */
  readonly secret: boolean
  readonly defaultValue?: string | number
  /** Documentation of a default that is not a fixed value. */
  readonly defaultText?: string
}
