// Loaded by Node.js before a program. Tells with which processor time of its main thread the runtime runs programs.
const { readFileSync } = require('node:fs')

process._rawDebug(`runtime runs programs at ${Number(readFileSync('/proc/self/schedstat', 'utf8').split(' ')[0]) / 1e6}`)
