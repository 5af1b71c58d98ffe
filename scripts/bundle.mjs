// Bundles the product and the playground programs to CommonJS files under dist/.
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { build } from 'esbuild'
import { FileSet } from './build/fileSet.mjs'

const version = JSON.parse(readFileSync('package.json', 'utf8')).version
const shared = {
  bundle: true,
  write: false,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
  define: { __VERSION__: JSON.stringify(version) },
  // protobufjs probes for optional packages with an indirect require; they are not needed.
  external: ['bufferutil', 'utf-8-validate']
}

const product = 'src/node/cli/index.ts'

async function buildBundle (entryPoint, options) {
  const { outputFiles } = await build({ ...shared, entryPoints: [entryPoint], ...options })
  return Buffer.from(outputFiles[0].contents)
}

/** Keeps the program out of the entry file, so that the process handles signals before it has read the program. */
async function writeProduct (files) {
  const program = await buildBundle('src/node/cli/runProgram.ts')
  const programName = files.buildProgramName(program)
  const separateProgram = {
    name: 'separateProgram',
    setup: ({ onResolve }) => { onResolve({ filter: /\/runProgram\.js$/ }, () => ({ path: `./${programName}`, external: true })) }
  }
  // With `require` instead of `import()`, Node.js does not scan the program for its exports.
  const entry = await buildBundle(product, { plugins: [separateProgram], supported: { 'dynamic-import': false } })
  files.writeProgram(programName, program, 'lycheetrack.cjs', entry)
}

// `--product FOLDER` bundles only the product, into another folder.
const productFlagIndex = process.argv.indexOf('--product')
const isProductOnly = productFlagIndex >= 0
const folder = isProductOnly ? process.argv[productFlagIndex + 1] : 'dist'
const files = new FileSet(folder)
const programs = isProductOnly ? [] : readdirSync('playground').filter(name => existsSync(`playground/${name}/main.ts`))
await Promise.all([
  writeProduct(files),
  // An executable can only contain one file.
  !isProductOnly && buildBundle(product).then(content => { files.write('executable.cjs', content) }),
  ...programs.map(async name => { files.write(`playground/${name}.cjs`, await buildBundle(`playground/${name}/main.ts`)) })
])
if (!process.argv.includes('--quiet')) console.log(`bundled ${folder}/lycheetrack.cjs and ${programs.length} playground programs`)
