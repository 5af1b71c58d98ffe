import { readFileSync, writeFileSync } from 'node:fs'
import t from 'tap'
import { settingDefinitions } from '../settingDefinitions.js'
import type { SettingDefinition } from '../settingDefinition.js'

const pagePath = 'docs/config/settings.md'

function formatDefault (definition: SettingDefinition): string {
  if (definition.required) return 'required'
  return definition.defaultText ?? `\`${definition.defaultValue}\``
}

function renderSettingsPage (): string {
  const rows = settingDefinitions.map(definition =>
    `| \`--${definition.flag}\`<br>\`${definition.variable}\` | ${definition.description} | ${definition.allowed} | ${formatDefault(definition)} |`)
  return `# Settings

Settings of an entry host. Each one is a flag of \`lycheetrack serve\` and an environment variable; the flag wins, and an empty
variable counts as absent. \`lycheetrack check\` validates them without starting a host. Wrong settings are reported all at once, and
the program exits with status 2.

Give \`--operator-token\` and \`--peer-secret\` as variables: flags can be read in the process list. Neither is ever logged.

This page is generated from src/node/settings/settingDefinitions.ts; \`TAP_SNAPSHOT=1 npm test -- src/node/settings/__tests__/settingsPage.test.ts\`
writes it anew.

| setting | meaning | allowed | default |
| --- | --- | --- | --- |
${rows.join('\n')}

The client commands (\`contract\`, \`drain\`, \`burn\`, \`route\`) take \`--server\` (\`LYCHEETRACK_SERVER\`, ip:port of any entry host) and
\`--token\` (\`LYCHEETRACK_OPERATOR_TOKEN\`; for \`route\` the account's token in \`LYCHEETRACK_TOKEN\`).
`
}

t.test('the settings page matches the definitions', t => {
  const page = renderSettingsPage()
  if (process.env.TAP_SNAPSHOT === '1') writeFileSync(pagePath, page)
  t.equal(readFileSync(pagePath, 'utf8'), page)
  t.end()
})

t.test('the defaults in the type documentation match the definitions', t => {
  const source = readFileSync('src/node/settings/userSettings.ts', 'utf8')
  const documented = new Map([...source.matchAll(/@default ('?)([^'\n]+)\1\n\s*\*\/\n\s*readonly (\w+)\?/g)].map(match => [match[3]!, match[2]!]))
  for (const { key, defaultValue } of settingDefinitions) {
    if (defaultValue !== undefined) t.equal(documented.get(key), String(defaultValue), key)
  }
  t.end()
})
