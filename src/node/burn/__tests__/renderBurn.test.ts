import t from 'tap'
import { buildBurnReport } from '../buildBurnReport.js'
import { BurnLedger } from '../burnLedger.js'
import { createSample } from './createSample.js'
import { parseBurnReport } from '../parseBurnReport.js'
import { renderBurnHtml } from '../renderBurnHtml.js'
import { renderBurnText } from '../renderBurnText.js'

const start = Date.UTC(2026, 0, 5, 6)

function createReport () {
  const ledger = new BurnLedger()
  for (let i = 0; i < 2000; i++) {
    const isSlow = i % 25 === 0
    ledger.observe(createSample(!isSlow, start + i * 1500, { slowestStage: 'generate', slowestUpstream: `runner-${i % 2}` }))
    ledger.observe(createSample(true, start + i * 1500, { account: 'quay', kind: 'status-read' }))
  }
  ledger.observe(createSample(false, start, { account: '<script>', kind: '"&', code: 'overloaded', ran: 'not_run' }))
  const snapshot = ledger.createSnapshot('host-1', account => account === 'quay' ? undefined : { attainment: 0.99, latencyMs: 500 }, start + 3_000_000)
  return buildBurnReport(snapshot, ['host-2'])
}

t.test('the text report shows budgets and the causes of missed requests', t => {
  t.matchSnapshot(renderBurnText(createReport()))
  t.match(renderBurnText({ ...createReport(), entries: [] }), 'no requests in the last 6 hours')
  t.end()
})

t.test('the page is well-formed and self-contained, and escapes the names of accounts and kinds', t => {
  const html = renderBurnHtml(createReport())
  t.notMatch(html, /<script|https?:|@import|url\(|undefined|NaN|null/)
  t.match(html, '&lt;script&gt;')
  const open: string[] = []
  for (const [, closing, name, selfClosing] of html.matchAll(/<(\/?)([a-z]+[1-6]?)(?:\s[^<>]*?)?(\/?)>/g)) {
    if (closing === '/') t.equal(open.pop(), name, `closes ${name}`)
    else if (selfClosing !== '/' && name !== 'meta') open.push(name!)
  }
  t.same(open, [])
  t.equal(html.match(/<svg /g)?.length, 3)
  t.equal(html.match(/<rect class="missed"/g)?.length, 21)
  t.end()
})

t.test('a report serialized as JSON parses to the same report', t => {
  const report = createReport()
  t.same(parseBurnReport(JSON.parse(JSON.stringify(report))), report)
  t.end()
})
