import { chmodSync, lstatSync, openSync, readFileSync, readdirSync, statSync, symlinkSync } from 'node:fs'
import { join } from 'node:path'
import t from 'tap'
import { writeTextFile } from '../writeTextFile.js'

t.test('guards against a reader that finds a part of a file while it is written', async t => {
  const folder = t.testdir({ 'report.html': 'old', folder: {} })
  const [path, link] = ['report.html', 'link'].map(name => join(folder, name)) as [string, string]
  chmodSync(path, 0o600)
  symlinkSync('report.html', link)
  const reader = openSync(path, 'r')
  await writeTextFile(link, 'new')
  t.equal(readFileSync(reader, 'utf8'), 'old')
  t.equal(readFileSync(path, 'utf8'), 'new')
  t.equal(statSync(path).mode & 0o777, 0o600)
  t.ok(lstatSync(link).isSymbolicLink())
  await writeTextFile('/dev/null', 'to a device')
  t.ok(statSync('/dev/null').isCharacterDevice())
  await writeTextFile(join(folder, 'first.html'), 'first')
  await t.rejects(writeTextFile(join(folder, 'folder'), 'text'), { code: 'EISDIR' })
  t.same(readdirSync(folder).sort(), ['first.html', 'folder', 'link', 'report.html'])
})
