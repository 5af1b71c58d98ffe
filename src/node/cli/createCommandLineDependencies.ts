import { CommandUnavailableError } from './commandUnavailableError.js'
import { unwatchFile, watchFile } from 'node:fs'
import { readFile } from 'node:fs/promises'
import { cliConstants } from './constants.js'
import { createOutputWriter } from '../gateway/logs/createOutputWriter.js'
import { createStandardErrorWriter } from '../logging/createStandardErrorWriter.js'
import { HostSignals } from './hostSignals.js'
import { resolveSettingsPath } from '../platform/resolveSettingsPath.js'
import { text as readStreamText } from 'node:stream/consumers'
import { setTimeout as delay } from 'node:timers/promises'
import { writeTextFile } from './writeTextFile.js'
import type { LineWriter } from '../gateway/logs/lineWriter.js'
import type { CommandLineDependencies } from './commandLineDependencies.js'

declare const __VERSION__: string

type Implementations = Pick<CommandLineDependencies, 'startEntryHost' | 'startGatewayHost' | 'parseContract'>

/** Creates the dependencies of the command line from the process; the code that starts hosts and validates contracts is passed in. */
export function createCommandLineDependencies (
  implementations: Partial<Implementations> = {},
  signals?: HostSignals
): CommandLineDependencies {
  // When the reader closes the pipe early, as `head` does, the program exits without a stack trace.
  process.stdout.on('error', () => process.exit(1))
  return {
    version: typeof __VERSION__ === 'string' ? __VERSION__ : 'development',
    environment: process.env,
    startEntryHost: implementations.startEntryHost ?? (() => refuseMissingPart('the entry host')),
    startGatewayHost: implementations.startGatewayHost ?? (() => refuseMissingPart('the gateway host')),
    parseContract: implementations.parseContract ?? (() => refuseMissingPart('the contract check')),
    readTextFile: path => readFile(path, 'utf8'),
    readInput: async () => await readStreamText(process.stdin),
    writeTextFile,
    writeOutput: line => process.stdout.write(`${line}\n`),
    writeError: line => process.stderr.write(`${line}\n`),
    onSignal: addSignalListener,
    onHostSignal: listener => { (signals ?? new HostSignals(process).start()).setListener(listener) },
    onSettingsChange: addSettingsListener,
    openHostLog,
    wait: async ms => { await delay(ms) }
  }
}

function addSignalListener (listener: (signal: 'SIGTERM' | 'SIGINT') => void): () => void {
  process.on('SIGTERM', listener).on('SIGINT', listener)
  return () => process.off('SIGTERM', listener).off('SIGINT', listener)
}

/** The settings file is polled, because it may change without a signal and file events are not available everywhere. */
function addSettingsListener (listener: () => void): () => void {
  const path = resolveSettingsPath(process.env)
  watchFile(path, { interval: cliConstants.settingsPollMs, persistent: false }, listener)
  return () => { unwatchFile(path, listener) }
}

function openHostLog (stream: 'output' | 'error'): LineWriter {
  if (stream === 'output') return createOutputWriter()
  return Object.assign(createStandardErrorWriter(), { flush: async () => {} })
}

function refuseMissingPart (name: string): never {
  throw new CommandUnavailableError(`this build does not contain ${name}`)
}
