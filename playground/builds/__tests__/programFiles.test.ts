import { closeSync, openSync, readdirSync, readFileSync, rmSync, symlinkSync, utimesSync } from 'node:fs'
import { join, resolve } from 'node:path'
import t, { type Test } from 'tap'
import { TestCheckout } from '../testCheckout.js'

function createCheckout (t: Test): TestCheckout {
  const checkout = new TestCheckout()
  t.teardown(() => { checkout.remove() })
  symlinkSync(resolve('node_modules'), join(checkout.folder, 'node_modules'))
  return checkout
}

t.test('program files of builds', { timeout: 60_000 }, async t => {
  const listPrograms = (checkout: TestCheckout): readonly string[] => {
    return readdirSync(join(checkout.folder, 'target')).filter(name => name.startsWith('program'))
  }

  t.test('guards against a start that reads files which a build is writing, or files of two builds', async t => {
    const checkout = createCheckout(t)
    const getPath = (name: string): string => join(checkout.folder, 'target', name)
    await checkout.runBuild()
    const programs = listPrograms(checkout)
    const names = ['lycheetrack.cjs', ...programs]
    const contents = names.map(name => readFileSync(getPath(name), 'utf8'))
    const openFiles = names.map(name => openSync(getPath(name), 'r'))
    for (const name of programs) utimesSync(getPath(name), 0, 0)
    checkout.writeProgram('second')
    t.match(await checkout.runBuild(), { status: 0 })
    t.same(openFiles.map(file => readFileSync(file, 'utf8')), contents)
    for (const file of openFiles) closeSync(file)
    checkout.writeText('target/read-before.cjs', contents[0]!)
    t.match(await checkout.runNode('target/read-before.cjs'), { status: 0, output: 'first\n' })
    t.match(await checkout.runNode('target/lycheetrack.cjs'), { status: 0, output: 'second\n' })

    for (const name of programs) utimesSync(getPath(name), 0, 0)
    t.match(await checkout.runBuild(), { status: 0 })
    t.equal(listPrograms(checkout).length, 1)
    t.match(await checkout.runNode('target/lycheetrack.cjs'), { status: 0, output: 'second\n' })
  })

  t.test('guards against a build that replaces files though its sources are faulty or missing', async t => {
    const checkout = createCheckout(t)
    await checkout.runBuild()
    checkout.writeProgram("'")
    t.match(await checkout.runBuild(), { status: 1 })
    rmSync(join(checkout.folder, 'src'), { recursive: true })
    t.match(await checkout.runBuild(), { status: 1 })
    t.match(await checkout.runNode('target/lycheetrack.cjs'), { status: 0, output: 'first\n' })
  })
})
