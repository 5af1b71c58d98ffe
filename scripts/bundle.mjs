// Bundles the product and the playground programs to CommonJS files under dist/.
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { build } from 'esbuild'

const version = JSON.parse(readFileSync('package.json', 'utf8')).version
const shared = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
  define: { __VERSION__: JSON.stringify(version) },
  // protobufjs probes for optional packages with an indirect require; they are not needed.
  external: ['bufferutil', 'utf-8-validate']
}

const product = 'src/node/cli/index.ts'
/** Keeps the program out of the entry file, so that the process handles signals before it has read the program. */
const separateProgram = {
  name: 'separateProgram',
  setup: ({ onResolve }) => { onResolve({ filter: /\/runProgram\.js$/ }, () => ({ path: './program.cjs', external: true })) }
}
const productBuilds = folder => [
  // With `require` instead of `import()`, Node.js does not scan the program for its exports.
  build({ ...shared, entryPoints: [product], outfile: `${folder}/lycheetrack.cjs`, plugins: [separateProgram], supported: { 'dynamic-import': false } }),
  build({ ...shared, entryPoints: ['src/node/cli/runProgram.ts'], outfile: `${folder}/program.cjs` })
]
// `--product FOLDER` bundles only the product, into another folder.
const productFlagIndex = process.argv.indexOf('--product')
const folder = productFlagIndex < 0 ? 'dist' : process.argv[productFlagIndex + 1]
const programs = productFlagIndex >= 0 ? [] : readdirSync('playground').filter(name => existsSync(`playground/${name}/main.ts`))
await Promise.all([
  ...existsSync(product) ? productBuilds(folder) : [],
  // An executable can only contain one file.
  productFlagIndex < 0 && existsSync(product) && build({ ...shared, entryPoints: [product], outfile: `${folder}/executable.cjs` }),
  ...programs.map(name => build({ ...shared, entryPoints: [`playground/${name}/main.ts`], outfile: `dist/playground/${name}.cjs` }))
])
if (!process.argv.includes('--quiet')) console.log(`bundled ${folder}/lycheetrack.cjs and ${programs.length} playground programs`)
