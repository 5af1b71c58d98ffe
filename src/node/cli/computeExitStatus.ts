import { cliConstants } from './constants.js'
import { gatewayConstants } from '../app/gatewayConstants.js'
import { SettingsError } from '../settings/settingsError.js'
import { UnexpectedErrorsError } from '../../shared/unexpectedErrorsError.js'
import { UsageError } from './usageError.js'

/** The exit status of a command that failed. */
export function computeExitStatus (error: unknown): number {
  if (error instanceof UnexpectedErrorsError) return gatewayConstants.unexpectedErrorStatus
  const { usage, failure } = cliConstants.exitStatus
  return error instanceof UsageError || error instanceof SettingsError ? usage : failure
}
