import { cliConstants } from '../constants.js'
import { clientOptions } from '../clientOptions.js'
import { createAdministrationClient } from '../createAdministrationClient.js'
import { FileUnreadableError } from '../fileUnreadableError.js'
import { jsonOption } from '../jsonOption.js'
import { renderBurnHtml } from '../../burn/renderBurnHtml.js'
import { renderBurnText } from '../../burn/renderBurnText.js'
import { resolveClient } from '../resolveClient.js'
import type { Command } from '../command.js'

/** `burn`: reports how fast each account spends its error budget, and on which failures. */
export const burn: Command = {
  usage: 'burn',
  description: 'Reports attainment of the objective, error budget and what consumed it, by account and kind',
  options: [
    ...clientOptions,
    { flag: 'account', type: 'text', description: 'Report this account only' },
    jsonOption,
    { flag: 'html', type: 'text', description: 'Write a self-contained HTML page to this file instead of printing the text report' }
  ],
  example: 'burn --html burn.html --server 192.0.2.7:7100',
  validate: context => resolveClient(context).faults,
  run: async context => {
    const { flags, dependencies } = context
    const full = await createAdministrationClient(context).readBurn()
    const entries = flags.account === undefined ? full.entries : full.entries.filter(entry => entry.account === flags.account)
    const report = { ...full, entries }
    if (flags.json === true) dependencies.writeOutput(JSON.stringify(report, null, 2))
    else if (flags.html === undefined) dependencies.writeOutput(renderBurnText(report))
    if (typeof flags.html !== 'string') return cliConstants.exitStatus.success
    try {
      await dependencies.writeTextFile(flags.html, renderBurnHtml(report))
    } catch (error) {
      throw new FileUnreadableError(`cannot write ${flags.html}: ${(error as Error).message}`, { cause: error })
    }
    dependencies.writeError(`wrote ${flags.html}`)
    return cliConstants.exitStatus.success
  }
}
