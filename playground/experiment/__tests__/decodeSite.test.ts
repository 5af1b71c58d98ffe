import t from 'tap'
import { decodeSite } from '../decodeSite.js'

const site = `
name = "harbour"
length_s = 10
thin = 0.5
machines = [{ count = 3 }, { count = 2 }]
net = { cross_zone_ms = 1.5, client_ms = 3 }
services = [
  { name = "engines", slots = 8, servers = [{ zone = "a", count = 4 }, { zone = "b", count = 2 }], llm = { prefill_tokens_per_ms = 50, first_ms = 10, step_ms = 3, step_ms_per_slot = 0.1, stride = 5, kv_tokens = 1000 } },
  { name = "archive", slots = 1, servers = [{ zone = "a", count = 4 }], stage = { batch = 10, call_ms = 200, item_ms = 10, room_mb = 2, handle_s = 4 } },
  { name = "bells", slots = 2, servers = [{ zone = "a", count = 1 }] },
]
classes = [
  { name = "digest", aim_ms = 2000, deadline_ms = 9000, worth = 4, late_worth = 0.5, priority = 1, retries = 1, stages = [{ service = "archive", bytes = 800 }], stream = { pieces = { mean = 5 }, prompt_tokens = { mean = 100 }, chain = [] } },
  { name = "bell", aim_ms = 100, deadline_ms = 900, worth = 1, late_worth = 0.5, priority = 0, retries = 1 },
]
[[day]]
name = "calm"
plan = [{ at = 1, kind = "release" }]
faults = [{ at = 2, kind = "burst", x = 2, for_s = 3, class = "digest" }, { at = 3, kind = "srv_crash", service = "archive", share = 0.5, for_s = 2 }, { at = 4, kind = "srv_slow", service = "engines" }]
traffic = [{ zone = "a", per_s = 40, mix = { digest = 1, bell = 3 }, shape = { clump = 2 } }]
`

t.test('decodes a site file with its share of upstreams and requests, and lists the events that are not simulated', async t => {
  t.matchSnapshot(JSON.stringify(decodeSite(site), (_, value) => value === Infinity ? 'Infinity' : value, 1))
})

t.test('refuses a file with a field of a wrong type', async t => {
  t.throws(() => decodeSite(site.replace('length_s = 10', 'length_s = "x"')), { name: 'ZodError' })
})
