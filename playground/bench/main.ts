import { writeFileSync } from 'node:fs'
import sade from 'sade'
import { LycheetrackError } from '../../src/shared/lycheetrackError.js'
import type { BoundResult } from './boundResult.js'
import { computeCost } from './computeCost.js'
import { resolveBenchOptions } from './resolveBenchOptions.js'
import { runBench } from './runBench.js'

function runMain (user: Readonly<Record<string, unknown>>): void {
  const options = resolveBenchOptions(user)
  const { records, bounds: measured } = runBench(options, text => console.log(text))
  const bounds = options.cost ? [...measured, ...runCost()] : measured
  for (const bound of bounds) console.log(`${bound.passed ? 'ok    ' : 'FAILED'}  ${bound.name}: ${bound.value.toFixed(3)} (bound ${bound.bound})`)
  if (options.jsonFile !== undefined) writeFileSync(options.jsonFile, JSON.stringify(records, null, 1) + '\n')
  const failed = bounds.filter(bound => !bound.passed).length
  console.log(`${bounds.length - failed} passed, ${failed} failed`)
  process.exitCode = failed > 0 ? 1 : 0
}

function runCost (): readonly BoundResult[] {
  const cost = computeCost()
  console.log(`router memory per runner ${cost.bytesPerRunner.toFixed(0)} bytes, CPU time of a whole attempt ${cost.attemptUs.toFixed(1)} us, connection subset ${cost.subsetMs.toFixed(0)} ms\n`)
  return [
    { name: 'one routing decision among 2,800 runners in us', value: cost.routingUs, bound: 20, passed: cost.routingUs <= 20 },
    { name: 'whole admission in us', value: cost.admissionUs, bound: 50, passed: cost.admissionUs <= 50 }
  ]
}

sade('bench', true)
  .option('--json', 'Write one record for each scenario, policy, seed and measure to this file')
  .option('--scenario', 'Run this scenario only; may be given several times')
  .option('--example', 'Deployment: ferry or kouign; both when absent')
  .option('--policy', 'Run this policy only; may be given several times; bounds that need others are left out')
  .option('--seed', 'Seed; may be given several times')
  .option('--set', 'Change a setting, key=value; may be given several times')
  .option('--cost', 'Print the CPU time of decisions and the memory of the router for each runner')
  .action(user => {
    try {
      runMain(user)
    } catch (error) {
      if (!(error instanceof LycheetrackError)) throw error
      console.error(`${error.code}: ${error.message}`)
      process.exitCode = 2
    }
  })
  .parse(process.argv)
