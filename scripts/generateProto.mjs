// Generates the message code of the peer protocol. The output is committed; run this script after editing peer.proto.
import { execFileSync } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'

const folder = 'src/node/peers/generated'
const bin = 'node_modules/.bin/'
execFileSync(bin + 'pbjs', ['-t', 'static-module', '-w', 'es6', '--no-create', '--no-verify', '--no-delimited', '--no-typeurl', '--no-service', '--force-number', '--dependency', 'protobufjs/minimal.js', '-o', `${folder}/peer.js`, 'src/node/peers/peer.proto'])
execFileSync(bin + 'pbts', ['-o', `${folder}/peer.d.ts`, `${folder}/peer.js`])
// Node's ES module loader exposes the CommonJS runtime as the default export only.
const code = readFileSync(`${folder}/peer.js`, 'utf8').replace('import * as $protobuf from "protobufjs/minimal.js"', 'import $protobuf from "protobufjs/minimal.js"')
writeFileSync(`${folder}/peer.js`, code)
