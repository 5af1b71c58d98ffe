import { readFile } from 'node:fs/promises'
import { TestContractError } from './testContractError.js'
import type { CommandLineDependencies } from '../commandLineDependencies.js'
import type { HostSignal } from '../hostSignal.js'
import type { Contract } from '../../../types/contract.js'

/** Creates dependencies that record all output and let a test send signals; waits resolve at once. */
export function createTestDependencies (overrides: Partial<CommandLineDependencies> = {}) {
  const output: string[] = []
  const errors: string[] = []
  const files = new Map<string, string>()
  const hostLog: string[] = []
  const reloadListeners = new Set<() => void>()
  const listeners = new Set<(signal: 'SIGTERM' | 'SIGINT') => void>()
  let hostListener: ((signal: HostSignal) => void) | undefined
  const dependencies: CommandLineDependencies = {
    version: '9.9.9',
    environment: {},
    startEntryHost: async () => ({ drain () {}, waitUntilStopped: async () => {} }),
    startGatewayHost: async () => ({ drain () {}, waitUntilStopped: async () => {}, applySettings () {}, recordSettingsFault () {} }),
    parseContract: value => {
      if (typeof (value as Contract).account !== 'string') throw new TestContractError('account: is missing')
      return value as Contract
    },
    readTextFile: async path => files.get(path) ?? await readFile(path, 'utf8'),
    readInput: async () => '',
    writeTextFile: async (path, text) => { files.set(path, text) },
    writeOutput: line => { output.push(line) },
    writeError: line => { errors.push(line) },
    onSignal: listener => {
      listeners.add(listener)
      return () => listeners.delete(listener)
    },
    onHostSignal: listener => { hostListener = listener },
    onSettingsChange: listener => {
      reloadListeners.add(listener)
      return () => reloadListeners.delete(listener)
    },
    openHostLog: () => Object.assign((line: string) => { hostLog.push(line) }, { flush: async () => {} }),
    wait: async () => { await new Promise(resolve => setImmediate(resolve)) },
    ...overrides
  }
  const sendReload = () => { for (const listener of reloadListeners) listener() }
  const sendSignal = (signal: HostSignal) => {
    hostListener?.(signal)
    if (signal === 'SIGTERM' || signal === 'SIGINT') for (const listener of listeners) listener(signal)
  }
  return { dependencies, output, errors, files, hostLog, sendSignal, sendReload, hasHostListener: () => hostListener !== undefined }
}
