import type { CommandOption } from './commandOption.js'

/** Flags of the commands that call a server with the operator's token. */
export const clientOptions: readonly CommandOption[] = [
  { flag: 'server', type: 'text', description: 'ip:port of an entry host', defaultText: 'LYCHEETRACK_SERVER' },
  { flag: 'token', type: 'text', description: 'Operator token', defaultText: 'LYCHEETRACK_OPERATOR_TOKEN' }
]
