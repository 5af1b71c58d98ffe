import { readFileSync } from 'node:fs'
import neostandard from 'neostandard'

// The verbs that function names may begin with are listed in the docs, one per table row.
const verbs = [...readFileSync(new URL('docs/verbs.md', import.meta.url), 'utf8').matchAll(/^\| `(\w+)` \|/gm)].map(match => match[1])
const verbPattern = `/^_?(${verbs.join('|')})([A-Z0-9]|$)/`
const verbMessage = 'Function names begin with a verb from docs/verbs.md.'

export default [
  ...neostandard({ ts: true, noJsx: true, ignores: ['dist/**', 'target/**', '**/generated/**', 'tap-snapshots/**', '.tap/**'] }),
  {
    files: ['src/**/*.ts', 'playground/**/*.ts'],
    rules: {
      'no-void': ['error', { allowAsStatement: true }],
      'no-restricted-syntax': ['error',
        { selector: 'Program > :matches(ExportNamedDeclaration, ExportDefaultDeclaration) ~ :matches(ExportNamedDeclaration, ExportDefaultDeclaration)', message: 'One export per file.' },
        { selector: 'ThrowStatement > :matches(Literal, TemplateLiteral)', message: 'Throw a typed error.' },
        { selector: "ThrowStatement > NewExpression[callee.name='Error']", message: 'Throw a subclass of LycheetrackError.' },
        { selector: `FunctionDeclaration[id.name!=${verbPattern}]`, message: verbMessage },
        { selector: `MethodDefinition[kind='method'][key.name!=${verbPattern}]`, message: verbMessage }
      ]
    }
  }
]
