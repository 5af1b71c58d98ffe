import { burn } from './commands/burn.js'
import { check } from './commands/check.js'
import { contractApply } from './commands/contractApply.js'
import { contractDelete } from './commands/contractDelete.js'
import { contractDiff } from './commands/contractDiff.js'
import { contractHistory } from './commands/contractHistory.js'
import { contractList } from './commands/contractList.js'
import { contractRead } from './commands/contractRead.js'
import { contractStatus } from './commands/contractStatus.js'
import { contractWatch } from './commands/contractWatch.js'
import { drain } from './commands/drain.js'
import { explain } from './commands/explain.js'
import { gateway } from './commands/gateway.js'
import { placement } from './commands/placement.js'
import { route } from './commands/route.js'
import { serve } from './commands/serve.js'
import type { Command } from './command.js'

/** All subcommands, in the order of the help. */
export function listCommands (): readonly Command[] {
  return [
    serve, gateway,
    contractApply, contractRead, contractList, contractDiff, contractWatch, contractHistory, contractStatus, contractDelete,
    route, drain, burn, check, explain, placement
  ]
}
