import { writeFileSync } from 'node:fs'
import sade from 'sade'
import { LycheetrackError } from '../../src/shared/lycheetrackError.js'
import { computeReport } from './computeReport.js'
import { renderPlots } from './renderPlots.js'
import { renderReport } from './renderReport.js'
import { resolveExperimentOptions } from './resolveExperimentOptions.js'
import { runExperiment } from './runExperiment.js'

async function runMain (user: Readonly<Record<string, unknown>>): Promise<void> {
  const { deployment, days, seed, jsonFile, htmlFile } = resolveExperimentOptions(user)
  const reports = []
  for (const day of days) {
    const report = computeReport(await runExperiment(deployment, day, seed))
    reports.push(report)
    console.log(renderReport(report))
  }
  if (jsonFile !== undefined) writeFileSync(jsonFile, JSON.stringify(reports, null, 1) + '\n')
  if (htmlFile !== undefined) writeFileSync(htmlFile, renderPlots(reports))
}

sade('experiment', true)
  .option('--site', 'Site file to simulate')
  .option('--example', 'Built-in deployment: ferry or kouign', 'kouign')
  .option('--day', 'Day to simulate; all days of the deployment when absent')
  .option('--seed', 'Seed of the load', 1)
  .option('--json', 'Write the reports to this file')
  .option('--html', 'Write plots to this file')
  .action((user: Readonly<Record<string, unknown>>) => {
    runMain(user).catch((error: unknown) => {
      if (!(error instanceof LycheetrackError)) throw error
      console.error(`${error.code}: ${error.message}`)
      process.exitCode = 2
    })
  })
  .parse(process.argv)
