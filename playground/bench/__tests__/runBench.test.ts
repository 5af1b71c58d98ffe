import t from 'tap'
import type { BenchOptions } from '../benchOptions.js'
import { defaultSettings } from '../defaultSettings.js'
import { resolveBenchOptions } from '../resolveBenchOptions.js'
import { runBench } from '../runBench.js'

const options: BenchOptions = {
  examples: ['kouign'],
  scenarios: ['steady', 'crest', 'slowed'],
  policies: ['lycheetrack'],
  seeds: [1],
  settings: { ...defaultSettings, duration: 0.5 },
  jsonFile: undefined,
  cost: false
}

const { bounds } = runBench(options, () => {})
const recovery = 'filling-question p99 from 2 s after'

t.test('meets the bounds of the design page in a short crest and with slowed runners', t => {
  const checked = bounds.filter(bound => !bound.name.includes(recovery))
  t.ok(checked.length >= 8)
  for (const bound of checked) t.ok(bound.passed, `${bound.name}: ${bound.value} against ${bound.bound}`)
  t.end()
})

t.test('brings short generations back to their usual p99 within 2 s after the crest', t => {
  const bound = bounds.find(bound => bound.name.includes(recovery))
  t.ok(bound?.passed, `${bound?.value} against ${bound?.bound}`)
  t.end()
})

t.test('gives the same figures for the same seed', t => {
  const short: BenchOptions = { ...options, examples: ['ferry'], scenarios: ['all'], policies: ['lycheetrack'], settings: { ...defaultSettings, duration: 0.2 } }
  t.same(runBench(short, () => {}).records, runBench(short, () => {}).records)
  t.end()
})

t.test('refuses unknown settings with their names', t => {
  t.throws(() => resolveBenchOptions({ set: 'speed=2' }), { code: 'bench_option_invalid' })
  t.same(resolveBenchOptions({ set: ['hosts=9', 'crestFactor=3'] }).settings, { ...defaultSettings, hosts: 9, crestFactor: 3 })
  t.end()
})
