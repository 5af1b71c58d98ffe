import t from 'tap'
import { ModelDemand } from '../modelDemand.js'

t.test('returns a steady rate, which decays when the demand ends', t => {
  const demand = new ModelDemand()
  for (let ms = 0; ms < 120_000; ms += 100) demand.observe('harbour-long', 10, ms)
  const steady = demand.read(120_000).get('harbour-long') ?? 0
  const later = demand.read(180_000).get('harbour-long') ?? 0
  t.ok(steady > 95 && steady < 105, `${steady} tokens/s for 100`)
  t.ok(later < steady / 7, 'two decay times later')
  t.end()
})
