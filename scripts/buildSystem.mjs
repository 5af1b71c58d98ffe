// The build of the deploy file: installs the packages of the lock file if they are not there, and bundles the product to
// target/. Uses only what Node.js contains, because it runs before there are packages.
import { mkdirSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { BuildError } from './build/buildError.mjs'
import { BuildLock } from './build/buildLock.mjs'
import { ChildProgram } from './build/childProgram.mjs'
import { chooseWorkFolder } from './build/chooseWorkFolder.mjs'
import { PackageInstallation } from './build/packageInstallation.mjs'

const root = resolve(import.meta.dirname, '..')
const folder = join(root, 'target')
mkdirSync(folder, { recursive: true })
const lock = new BuildLock(join(folder, '.build-lock'))
const installation = new PackageInstallation(root, chooseWorkFolder(root, folder))
const bundler = new ChildProgram(process.execPath, ['scripts/bundle.mjs', '--quiet', '--product', 'target'], { cwd: root })

/** Packages that are there may still lack files, or have those of another machine. They are installed anew once. */
async function runBundler (arePackagesNew) {
  try {
    await bundler.run('target/ is as before')
  } catch (error) {
    if (arePackagesNew || !(error instanceof BuildError)) throw error
    console.log(`installing packages: ${error.message}`)
    await installation.run()
    await bundler.run('target/ is as before')
  }
}

async function runBuild () {
  await lock.claim(() => { console.log('waiting for another build of this checkout') })
  try {
    await installation.removeAbandoned()
    const missing = installation.listMissing()
    if (missing.length > 0) {
      console.log(`installing packages: ${missing.length} are missing or differ from package-lock.json, the first is ${missing[0]}`)
      await installation.run()
    }
    await runBundler(missing.length > 0)
  } finally {
    lock.release()
  }
}

for (const signal of ['SIGHUP', 'SIGINT', 'SIGTERM']) {
  process.once(signal, () => {
    lock.release()
    bundler.kill()
    installation.cancel()
    process.exit(1)
  })
}
runBuild().catch(error => {
  console.error(error instanceof BuildError || error.code !== undefined ? `build failed: ${error.message}` : error)
  process.exitCode = 1
})
