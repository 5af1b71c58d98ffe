import type { CommandOption } from './commandOption.js'

/** Flag of the commands that print a table or JSON. */
export const jsonOption: CommandOption = { flag: 'json', type: 'switch', description: 'Print JSON instead of text' }
