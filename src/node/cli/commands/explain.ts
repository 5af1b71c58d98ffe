import { explainRequest } from '../../explain/explainRequest.js'
import { cliConstants } from '../constants.js'
import type { Command } from '../command.js'

/** `explain`: prints the timeline of one request from log files, and why the request ended. */
export const explain: Command = {
  usage: 'explain <request-id> [file...]',
  description: 'Prints the log lines about a request and why it ended, from files or standard input; exit status 1 when no line names it',
  options: [],
  example: 'explain 9c41d07be2a35f68 host-1.log host-2.log',
  validate: () => [],
  run: async ({ positional, dependencies }) => {
    const [requestId = '', ...files] = positional
    const texts = files.length === 0 ? [await dependencies.readInput()] : await Promise.all(files.map(async file => await dependencies.readTextFile(file)))
    const { timeline, cause, unreadableCount } = explainRequest(requestId, texts.join('\n'))
    for (const row of timeline) dependencies.writeOutput(row)
    if (unreadableCount > 0) dependencies.writeError(`warning: ${unreadableCount} lines with this id could not be parsed`)
    if (cause === undefined) {
      dependencies.writeError(`error: no line names request ${requestId}`)
      return cliConstants.exitStatus.failure
    }
    dependencies.writeOutput(`cause: ${cause}`)
    return cliConstants.exitStatus.success
  }
}
