#!/usr/bin/env node
import { createEntryHost } from '../app/createEntryHost.js'
import { createGatewayHost } from '../app/createGatewayHost.js'
import { parseContract } from '../contracts/parseContract.js'
import { createCommandLineDependencies } from './createCommandLineDependencies.js'
import { runCommandLine } from './runCommandLine.js'

const dependencies = createCommandLineDependencies({
  startEntryHost: createEntryHost,
  startGatewayHost: async (settings, writeLine) => await createGatewayHost(settings, { writeLine }),
  parseContract
})
runCommandLine(process.argv, dependencies).then(status => process.exit(status))
