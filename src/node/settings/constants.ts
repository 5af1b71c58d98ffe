/** Constants of the settings. */
export const settingsConstants = {
  variablePrefix: 'LYCHEETRACK_',
  /** Shorter operator tokens and peer secrets can be guessed. */
  minSecretLength: 16,
  /** Variables of the client commands of the command line; they are not settings of a host. */
  clientVariables: ['LYCHEETRACK_SERVER', 'LYCHEETRACK_TOKEN'] as readonly string[]
} as const
