/** One wrong or missing setting. */
export interface SettingFault {
  /** Flag and environment variable, e.g. `--host-id (LYCHEETRACK_HOST_ID)`. */
  readonly setting: string
  /** The value as given, redacted when secret; absent when the setting is missing. */
  readonly value?: string
  /** What is allowed, e.g. `must be an http:// or https:// URL`. */
  readonly expected: string
}
