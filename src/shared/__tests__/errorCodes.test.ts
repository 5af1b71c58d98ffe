import { readdirSync, readFileSync } from 'node:fs'
import t from 'tap'

const sources = readdirSync('src', { recursive: true, encoding: 'utf8' })
  .filter(path => path.endsWith('.ts') && !path.includes('__tests__') && !path.includes('generated'))
const patterns = [
  /\bcode(?:: string)? = '([a-z_]+)'/g,
  /\bcode: '([a-z_]+)'/g,
  /\bcode \?\? '([a-z_]+)'/g,
  /\b(?:new \w*Error|super)\(\s*'([a-z]+_[a-z_]+)',/g,
  /\breason: ((?:'[a-z_]+'(?: \| )?)+)/g
]

t.test('every error code in src/ is documented', t => {
  const page = readFileSync('docs/guide/errors.md', 'utf8')
  const documented = new Set([...page.matchAll(/^\| `([a-z_]+)` \|/gm)].map(match => match[1]))
  let count = 0
  for (const path of sources) {
    const text = readFileSync(`src/${path}`, 'utf8')
    const codes = patterns.flatMap(pattern => [...text.matchAll(pattern)]).flatMap(match => match[1]!.match(/[a-z_]+/g)!)
    for (const code of new Set(codes)) {
      count++
      t.ok(documented.has(code), `docs/guide/errors.md documents ${code} of src/${path}`)
    }
  }
  t.ok(count > 10, 'codes were found')
  t.end()
})
