import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

interface BuiltProduct {
  readonly folder: string
  /** Path of the bundled program. */
  readonly program: string
  readonly remove: () => void
}

/** Bundles the product in a temporary folder: other tests start processes from dist at the same time. */
export function buildProduct (): BuiltProduct {
  const folder = mkdtempSync(join(tmpdir(), 'lycheetrack-product-'))
  execFileSync(process.execPath, ['scripts/bundle.mjs', '--product', folder, '--quiet'])
  return { folder, program: join(folder, 'lycheetrack.cjs'), remove: () => { rmSync(folder, { recursive: true }) } }
}
