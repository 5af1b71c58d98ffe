import { settingDefinitions } from '../settings/settingDefinitions.js'
import type { CommandOption } from './commandOption.js'

/** Flags of the commands that take the settings of a host. */
export const settingOptions: readonly CommandOption[] = settingDefinitions.map(definition => ({
  flag: definition.flag,
  type: 'text',
  description: definition.required ? `${definition.description} Required.` : definition.description,
  defaultText: definition.defaultText ?? definition.defaultValue?.toString()
}))
