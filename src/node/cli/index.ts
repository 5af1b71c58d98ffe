#!/usr/bin/env node
import { createCommandLineDependencies } from './createCommandLineDependencies.js'
import { runCommandLine } from './runCommandLine.js'

runCommandLine(process.argv, createCommandLineDependencies()).then(status => process.exit(status))
