import { EventEmitter } from 'node:events'
import t from 'tap'
import { HostSignals } from '../hostSignals.js'
import { hostSignalNames } from '../hostSignalNames.js'

t.test('signals that arrive before there is a listener reach it, in their order', async t => {
  const source = new EventEmitter()
  const signals = new HostSignals(source).start()
  source.emit('SIGHUP')
  source.emit('SIGTERM')
  const received: string[] = []
  signals.setListener(signal => { received.push(signal) })
  source.emit('SIGINT')
  t.same(received, ['SIGHUP', 'SIGTERM', 'SIGINT'])
  for (const name of hostSignalNames) t.equal(source.listenerCount(name), 1, name)
})
