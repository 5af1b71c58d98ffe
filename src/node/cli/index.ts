#!/usr/bin/env node
import { runCommandLine } from './runCommandLine.js'

runCommandLine(process.argv)
