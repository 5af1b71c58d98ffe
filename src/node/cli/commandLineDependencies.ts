import type { Contract } from '../../types/contract.js'
import type { GatewayOptions } from '../app/gatewayOptions.js'
import type { HostSignal } from './hostSignal.js'
import type { HostSettings } from '../gateway/model/hostSettings.js'
import type { LineWriter } from '../gateway/logs/lineWriter.js'
import type { ReloadableHost } from './reloadableHost.js'
import type { ResolvedSettings } from '../settings/resolvedSettings.js'
import type { RunningHost } from './runningHost.js'

/** Access of the command line to the process, its files and the hosts that it starts; tests replace it. */
export interface CommandLineDependencies {
  readonly version: string
  readonly environment: Readonly<Record<string, string | undefined>>
  /** Starts an entry host; resolves when it is ready to serve, or serves and is to stop. */
  startEntryHost (settings: ResolvedSettings, stopSignal: AbortSignal): Promise<RunningHost>
  /** Starts a gateway host; resolves when it has started. Rejects with the reason of `stopSignal` when it is aborted before. */
  startGatewayHost (settings: HostSettings, options: GatewayOptions): Promise<ReloadableHost>
  /** Validates a contract; throws a `LycheetrackError` that names all faults. */
  parseContract (value: unknown): Contract
  readTextFile (path: string): Promise<string>
  /** Reads standard input to its end. */
  readInput (): Promise<string>
  writeTextFile (path: string, text: string): Promise<void>
  /** Writes one line to standard output. */
  writeOutput (line: string): void
  /** Writes one line to standard error. */
  writeError (line: string): void
  /** Calls `listener` at each SIGTERM or SIGINT; the returned function removes it. */
  onSignal (listener: (signal: 'SIGTERM' | 'SIGINT') => void): () => void
  /** Calls `listener` at each signal of a host, also for those that arrived before this call. */
  onHostSignal (listener: (signal: HostSignal) => void): void
  /** Calls `listener` when the settings file changes; the returned function removes it. */
  onSettingsChange (listener: () => void): () => void
  /** Opens the log of a host, on standard output or standard error. */
  openHostLog (stream: 'output' | 'error'): LineWriter
  /** Resolves after `ms`. */
  wait (ms: number): Promise<void>
}
