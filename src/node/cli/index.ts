#!/usr/bin/env node
import { cliConstants } from './constants.js'
import { HostSignals } from './hostSignals.js'

// A signal that arrives while the program loads would end the process.
const isHost = cliConstants.hostCommands.includes(process.argv[2] ?? '')
const signals = isHost ? new HostSignals(process).start() : undefined
import('./runProgram.js').then(async ({ runProgram }) => await runProgram(signals)).then(status => process.exit(status))
