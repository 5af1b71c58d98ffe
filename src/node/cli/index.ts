#!/usr/bin/env node
import { createEntryHost } from '../app/createEntryHost.js'
import { createGatewayHost } from '../app/createGatewayHost.js'
import { parseContract } from '../contracts/parseContract.js'
import { createCommandLineDependencies } from './createCommandLineDependencies.js'
import { runCommandLine } from './runCommandLine.js'

runCommandLine(process.argv, createCommandLineDependencies({ startEntryHost: createEntryHost, startGatewayHost: createGatewayHost, parseContract })).then(status => process.exit(status))
